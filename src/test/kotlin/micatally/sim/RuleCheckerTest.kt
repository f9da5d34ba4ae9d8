package micatally.sim

import micatally.emulator.OnMachine
import micatally.emulator.Rehearsal
import micatally.emulator.RuleChecker
import micatally.emulator.RuleViolation
import micatally.settings.Team
import micatally.wire.JobSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The checker that the simulation relies on. */
class RuleCheckerTest {
    private fun rules() =
        RuleChecker(mapOf("vision" to Team("vision", 0.0, 6.0, 0.0, 0.0)), 1000).also {
            it.submitted(JobSpec.parse(Rehearsal.job(1, "sweep", 4)))
            it.submitted(JobSpec.parse(Rehearsal.job(2, "daemon", 1)))
        }

    private fun on(
        jobId: String,
        taskIndex: Int,
        machine: String = "m",
        zone: String = "a",
        isSpot: Boolean = false,
    ) = OnMachine(jobId, taskIndex, machine, "small", zone, isSpot)

    private fun broken(
        rule: String,
        act: () -> Unit,
    ) = assertTrue(
        assertThrows(RuleViolation::class.java) {
            act()
        }.message!!.startsWith(rule),
    )

    /** Guard: every rule of [RuleChecker] is made to fail once and is seen; the allowed cases beside it pass. */
    @Test
    fun `each violation is caught`() {
        rules().let { r ->
            r.started(on("j-000001", 0), 0)
            broken("ran_twice") { r.started(on("j-000001", 0, "n"), 0) }
        }
        rules().let { r ->
            for (i in 0..2) r.started(on("j-000001", i, zone = "a$i"), 0)
            broken("quota") { r.started(on("j-000001", 3, zone = "b"), 0) }
        }
        rules().let { r ->
            for (i in 0..1) r.started(on("j-000001", i), 0)
            broken("wrong_place") { r.started(on("j-000001", 2), 0) }
        }
        rules().let { r -> broken("wrong_place") { r.started(on("j-000002", 0, isSpot = true), 0) } }
        rules().let { r ->
            r.asksToCancel("j-000002")
            r.told("j-000002", "withdrawn", 0)
            broken("ran_cancelled") { r.started(on("j-000002", 0), 1001) }
        }
        rules().let { r ->
            r.started(on("j-000002", 0), 0)
            r.asksToCancel("j-000002")
            r.told("j-000002", "withdrawn", 0)
            r.check(1000)
            broken("ran_cancelled") { r.check(1001) }
        }
        rules().let { r ->
            r.answeredSubmit("j-000001", 201)
            broken("forgotten") { r.answeredPoll("j-000001", 404, null, 0) }
        }
        rules().let { r ->
            r.answeredSubmit("j-000001", 201)
            broken("forgotten") { r.answeredSubmit("j-000001", 422) }
        }
        rules().let { r -> broken("invented") { r.answeredPoll("j-000009", 200, "running", 0) } }
        rules().let { r ->
            r.left(on("j-000001", 0), true)
            broken("not_done") { r.answeredPoll("j-000001", 200, "done", 0) }
        }
        rules().let { r ->
            for (i in 0..3) r.left(on("j-000001", i), true)
            r.told("j-000001", "done", 0)
            broken("went_back") { r.told("j-000001", "running", 0) }
        }
        rules().let { r -> broken("went_back") { r.told("j-000001", "withdrawn", 0) } }
        rules().let { r ->
            r.answeredSubmit("j-000001", 201, "pending", 0)
            r.checkKnown(75_000, 0)
            broken("forgotten") { r.checkKnown(75_001, 0) }
        }
        rules().let { r ->
            r.asksToCancel("j-000002")
            r.told("j-000002", "withdrawn", 5)
            broken("ran_cancelled") { r.runSent("j-000002", 6, false) }
        }
        // A repeat of a command that was under way is told, not forbidden; so is a start by it.
        rules().let { r ->
            r.asksToCancel("j-000002")
            r.told("j-000002", "withdrawn", 5)
            r.runSent("j-000002", 6, true)
            assertEquals(1, r.runsSentAfterCancel)
        }
        rules().let { r ->
            r.asksToCancel("j-000002")
            r.told("j-000002", "withdrawn", 0)
            r.started(on("j-000002", 0), 900)
            assertEquals(1, r.startsAfterCancel)
        }
        // On a hung machine a task goes on when the machine does.
        rules().let { r ->
            var hangs = true
            r.hangs = { hangs }
            r.started(on("j-000002", 0), 0)
            r.asksToCancel("j-000002")
            r.told("j-000002", "withdrawn", 0)
            r.check(2000)
            hangs = false
            broken("ran_cancelled") { r.check(2001) }
        }
        // An answer may be as old as its question, and no older.
        rules().let { r ->
            for (i in 0..3) r.left(on("j-000001", i), true)
            r.told("j-000001", "done", 100)
            r.answeredPoll("j-000001", 200, "running", 120, 99)
            broken("went_back") { r.answeredPoll("j-000001", 200, "running", 120, 100) }
        }
        rules().let { r ->
            r.answeredPoll("j-000001", 200, "running", 10, 0)
            broken("forgotten") { r.answeredPoll("j-000001", 404, null, 20, 10) }
        }
    }
}
