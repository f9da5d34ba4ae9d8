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

/** Tests the rule checker itself, on which all simulations rely. */
class RuleCheckerTest {
    private fun rules() =
        RuleChecker(mapOf("vision" to Team("vision", 0.0, 6.0, 0.0, 0.0)), 1000).also {
            it.submitted(JobSpec.parse(Rehearsal.job(1, "sweep", 4)))
            it.submitted(JobSpec.parse(Rehearsal.job(2, "daemon", 1)))
        }

    private fun taskOn(
        jobId: String,
        taskIndex: Int,
        machine: String = "m",
        zone: String = "a",
        isSpot: Boolean = false,
    ) = OnMachine(jobId, taskIndex, machine, "small", zone, isSpot)

    private fun assertViolates(
        rule: String,
        action: () -> Unit,
    ) = assertTrue(
        assertThrows(RuleViolation::class.java) {
            action()
        }.message!!.startsWith(rule),
    )

    /** Breaks each rule of [RuleChecker] once, which it must report. Allowed cases next to a violation must pass. */
    @Test
    fun `each violation of a rule is reported`() {
        rules().let { r ->
            r.started(taskOn("j-000001", 0), 0)
            assertViolates("ran_twice") { r.started(taskOn("j-000001", 0, "n"), 0) }
        }
        rules().let { r ->
            for (i in 0..2) r.started(taskOn("j-000001", i, zone = "a$i"), 0)
            assertViolates("quota") { r.started(taskOn("j-000001", 3, zone = "b"), 0) }
        }
        rules().let { r ->
            for (i in 0..1) r.started(taskOn("j-000001", i), 0)
            assertViolates("wrong_place") { r.started(taskOn("j-000001", 2), 0) }
        }
        rules().let { r -> assertViolates("wrong_place") { r.started(taskOn("j-000002", 0, isSpot = true), 0) } }
        rules().let { r ->
            r.asksToCancel("j-000002")
            r.told("j-000002", "withdrawn", 0)
            assertViolates("ran_cancelled") { r.started(taskOn("j-000002", 0), 1001) }
        }
        rules().let { r ->
            r.started(taskOn("j-000002", 0), 0)
            r.asksToCancel("j-000002")
            r.told("j-000002", "withdrawn", 0)
            r.check(1000)
            assertViolates("ran_cancelled") { r.check(1001) }
        }
        rules().let { r ->
            r.answeredSubmit("j-000001", 201)
            assertViolates("forgotten") { r.answeredPoll("j-000001", 404, null, 0) }
        }
        rules().let { r ->
            r.answeredSubmit("j-000001", 201)
            assertViolates("forgotten") { r.answeredSubmit("j-000001", 422) }
        }
        rules().let { r -> assertViolates("invented") { r.answeredPoll("j-000009", 200, "running", 0) } }
        rules().let { r ->
            r.left(taskOn("j-000001", 0), true)
            assertViolates("not_done") { r.answeredPoll("j-000001", 200, "done", 0) }
        }
        rules().let { r ->
            for (i in 0..3) r.left(taskOn("j-000001", i), true)
            r.told("j-000001", "done", 0)
            assertViolates("went_back") { r.told("j-000001", "running", 0) }
        }
        rules().let { r -> assertViolates("went_back") { r.told("j-000001", "withdrawn", 0) } }
        rules().let { r ->
            r.answeredSubmit("j-000001", 201, "pending", 0)
            r.checkKnown(75_000, 0)
            assertViolates("forgotten") { r.checkKnown(75_001, 0) }
        }
        rules().let { r ->
            r.asksToCancel("j-000002")
            r.told("j-000002", "withdrawn", 5)
            assertViolates("ran_cancelled") { r.runSent("j-000002", 6, false) }
        }
        // A repeated start command is allowed but counted, and so is a start that it causes.
        rules().let { r ->
            r.asksToCancel("j-000002")
            r.told("j-000002", "withdrawn", 5)
            r.runSent("j-000002", 6, true)
            assertEquals(1, r.runsSentAfterCancel)
        }
        rules().let { r ->
            r.asksToCancel("j-000002")
            r.told("j-000002", "withdrawn", 0)
            r.started(taskOn("j-000002", 0), 900)
            assertEquals(1, r.startsAfterCancel)
        }
        // A task on a hung machine counts as running only once the machine goes on.
        rules().let { r ->
            var hangs = true
            r.hangs = { hangs }
            r.started(taskOn("j-000002", 0), 0)
            r.asksToCancel("j-000002")
            r.told("j-000002", "withdrawn", 0)
            r.check(2000)
            hangs = false
            assertViolates("ran_cancelled") { r.check(2001) }
        }
        // An answer may show the state at the time of its request, but no older one.
        rules().let { r ->
            for (i in 0..3) r.left(taskOn("j-000001", i), true)
            r.told("j-000001", "done", 100)
            r.answeredPoll("j-000001", 200, "running", 120, 99)
            assertViolates("went_back") { r.answeredPoll("j-000001", 200, "running", 120, 100) }
        }
        rules().let { r ->
            r.answeredPoll("j-000001", 200, "running", 10, 0)
            assertViolates("forgotten") { r.answeredPoll("j-000001", 404, null, 20, 10) }
        }
    }
}
