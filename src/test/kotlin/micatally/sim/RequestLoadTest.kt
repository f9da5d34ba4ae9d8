package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.RuleViolation
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Many requests or many tasks at once: submissions and starts stay fast, and there are few writes. */
class RequestLoadTest {
    /**
     * Guards [micatally.api.RecordReads]: reads for users' polls get only a share of a node's requests to the state
     * store. Otherwise submissions and starts wait behind thousands of polls for jobs that nobody submitted.
     */
    @Test
    fun `submissions and starts stay fast during a flood of polls`() =
        forEachSeed {
            allRun((0..2).map { submit(it, "daemon", 1, "loaners" to false) })
            var refused = 0
            var answered = 0
            for (node in 0 until fleet.nodes) {
                repeat(POLLS_PER_S * 20) { i ->
                    fleet.scope.launch {
                        delay(i * 1000L / POLLS_PER_S)
                        when (fleet.users.askNode(node, "GET", "/work/j-9%05d".format(i), null, 2000).first) {
                            404 -> answered++
                            503 -> refused++
                            else -> throw RuleViolation(
                                "invented",
                                "a poll for a job that nobody submitted got neither 404 nor 503 in time",
                            )
                        }
                    }
                }
            }
            fleet.runFor(3000)
            for (node in 0 until fleet.nodes) {
                val asked = fleet.now
                val jobId = submit(node, "sweep", 2, "loaners" to false, runMs = 500)
                assertTrue(fleet.now - asked < 1000, "accepted in ${fleet.now - asked} ms")
                runUntil(fleet.lease * 2, "its tasks are done") { fleet.rules.completed[jobId]?.size == 2 }
            }
            fleet.runFor(20_000)
            assertTrue(answered > 0 && refused > 0, "$answered answered, $refused refused")
        }

    /**
     * Guards [micatally.job.JobStore]: several completed tasks are written together, and they are part of the job's
     * record. So after a crash of the shard leader only tasks that completed shortly before it run again.
     */
    @Test
    fun `a large array takes few writes, and a crash of its leader repeats few tasks`() =
        forEachSeed {
            fleet.cloud.bootMs = { 1000L }
            var writes = 0
            val jobId = submit(0, "sweep", ARRAY_TASKS, "cores" to 0.25, "loaners" to false, runMs = 1500)
            fleet.stateFaults.holdWriteOf = { _, body ->
                if (jobId in body) writes++
                null
            }
            runUntil(fleet.lease * 10, "a third of the tasks is done") {
                (fleet.rules.completed[jobId]?.size ?: 0) >
                    ARRAY_TASKS / 3
            }
            val starts = fleet.rules.starts
            val done = fleet.rules.completed[jobId]!!.size
            fleet.crash(0)
            runUntil(fleet.lease * 3, "half of the tasks is done under another leader") {
                (
                    fleet.rules.completed[jobId]?.size
                        ?: 0
                ) >
                    ARRAY_TASKS / 2
            }
            fleet.startNode(0)
            runUntil(fleet.lease * 20, "all tasks are done") { fleet.rules.completed[jobId]?.size == ARRAY_TASKS }
            assertTrue(writes < ARRAY_TASKS / 2, "$writes writes for $ARRAY_TASKS tasks")
            assertTrue(
                fleet.rules.starts < ARRAY_TASKS * 11 / 10 + 500,
                "${fleet.rules.starts} starts, $starts of them for the first $done",
            )
        }

    private companion object {
        const val POLLS_PER_S = 150
        const val ARRAY_TASKS = 2000
    }
}
