package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** A start command that was carried out and answered, and arrives once more, starts nothing. */
internal class RepeatedCommandTest {
    /** Delivers copies of all requests so far that start tasks of these jobs, and checks that they start nothing. */
    private fun Scenario.assertCopiesStartNothing(jobIds: List<String>) {
        val starts = fleet.rules.starts
        val copies =
            fleet.net.deliverKeptCommands { body -> "\"run\"" in body && jobIds.any { "\"$it/" in body } }
        assertTrue(copies > 0, "there are copies of start commands")
        fleet.runFor(1000)
        assertEquals(starts, fleet.rules.starts, "copies of start commands start nothing")
        fleet.runFor(fleet.cancelMs)
        assertEquals(starts, fleet.rules.starts, "copies of start commands start nothing later")
    }

    private fun Scenario.assertEntriesCleared(jobIds: List<String>) =
        runUntil(fleet.lease * 14, "the entries of the ended tasks are cleared") {
            fleet.cloud.workers.none { worker -> worker.tasks.any { it.jobId in jobIds && it.exitReason != null } }
        }

    private fun recordedScenario(test: Scenario.() -> Unit) =
        forEachSeed(largeDeployment, before = { net.keepsCommands = true }, test = test)

    @ParameterizedTest
    @EnumSource
    fun `copies of answered start commands start no cancelled task`(interlude: Interlude) =
        recordedScenario {
            val anchor = submit(1, "daemon", 1)
            allRun(listOf(anchor))
            val jobIds = listOf(submit(0, "daemon", 2), submitLongArray(0, 3))
            allRun(jobIds)
            for (jobId in jobIds) cancel(jobId, listOf(0, 1, 2))
            runUntil(fleet.lease, "all tasks are cancelled") {
                jobIds.all { tasks(it).isEmpty() && fleet.rules.isCancelled(it) }
            }
            interlude.run(this)
            assertCopiesStartNothing(jobIds)
            assertEntriesCleared(jobIds)
        }

    /** Submits a job whose first attempts fail on the machines that there are now, and returns it once it runs elsewhere. */
    private fun Scenario.submitMoved(format: String): String {
        allRun(listOf(submit(1, "daemon", 1)))
        val faulty = fleet.cloud.workers.toList()
        for (worker in faulty) worker.sick = true
        val jobId = submit(0, format, 1, runMs = 3_600_000)
        runUntil(fleet.lease * 2, "the task has started on a faulty machine") { tasks(jobId).isNotEmpty() }
        val failedOn = tasks(jobId).single().machine
        runUntil(fleet.lease * 2, "the task has failed") { tasks(jobId).isEmpty() }
        for (worker in faulty) worker.sick = false
        runUntil(fleet.lease * 6, "the task runs elsewhere") { tasks(jobId).any { it.machine != failedOn } }
        fleet.runFor(1000)
        assertNotEquals(failedOn, tasks(jobId).single().machine)
        return jobId
    }

    @ParameterizedTest
    @EnumSource
    fun `copies of answered start commands start no task that has moved to another machine`(interlude: Interlude) =
        recordedScenario {
            val jobId = submitMoved("sweep")
            interlude.run(this)
            assertCopiesStartNothing(listOf(jobId))
        }

    @ParameterizedTest
    @EnumSource
    fun `copies of answered start commands start no task of a former run of a gang`(interlude: Interlude) =
        recordedScenario {
            val jobId = submitMoved("gang")
            interlude.run(this)
            assertCopiesStartNothing(listOf(jobId))
        }

    @Test
    fun `copies of refused start commands start nothing when the machine could run the task`() =
        recordedScenario {
            allRun(listOf(submit(1, "daemon", 1)))
            val jobId = submitLongArray(0, 1)
            val spec = checkNotNull(fleet.rules.specs.remove(jobId))
            val leader = checkNotNull(fleet.live[0])
            runUntil(fleet.lease, "machines have refused the task") {
                checkNotNull(leader.jobManager.job(jobId)).nextAttempt > 2
            }
            fleet.rules.specs[jobId] = spec
            val starts = fleet.rules.starts
            val copies = fleet.net.deliverKeptCommands { "\"$jobId/0\",\"start\":1}" in it }
            assertTrue(copies > 0, "there are copies of the refused start command")
            allRun(listOf(jobId))
            fleet.runFor(fleet.cancelMs)
            assertEquals(starts + 1, fleet.rules.starts)
        }

    @ParameterizedTest
    @EnumSource(names = ["MOMENT", "ALL_RESTARTED", "LONG"])
    fun `copies of answered start commands start no completed task`(interlude: Interlude) =
        recordedScenario {
            allRun(listOf(submit(1, "daemon", 1)))
            val jobId = submit(0, "sweep", 3, runMs = 2000)
            runUntil(fleet.lease * 4 + 20_000, "the job is done") {
                fleet.rules.completed[jobId]?.size == 3 && tasks(jobId).isEmpty()
            }
            fleet.runFor(1000)
            interlude.run(this)
            assertCopiesStartNothing(listOf(jobId))
        }
}
