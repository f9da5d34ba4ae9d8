package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.RuleViolation
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Many requests or many tasks at once: submissions and starts keep their time, and writes stay few. */
class RequestLoadTest {
    /**
     * Guard: reads for users' requests keep to a share of a node's requests ([micatally.api.RecordReads]); else
     * submissions and starts wait behind thousands of requests about jobs that nobody submitted.
     */
    @Test
    fun `submissions and starts keep their time in a storm of questions`() =
        forEachSeed {
            allRun((0..2).map { submit(it, "daemon", 1, "loaners" to false) })
            var refused = 0
            var answered = 0
            for (node in 0 until fleet.nodes) {
                repeat(STORM_QUESTIONS_PER_S * 20) { i ->
                    fleet.scope.launch {
                        delay(i * 1000L / STORM_QUESTIONS_PER_S)
                        when (fleet.users.askNode(node, "GET", "/work/j-9%05d".format(i), null, 2000).first) {
                            404 -> answered++
                            503 -> refused++
                            else -> throw RuleViolation(
                                "invented",
                                "a question about a job that nobody submitted got neither 404 nor 503 in time",
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
     * Guard: counts of completed tasks are written together ([micatally.job.JobStore]), and completed tasks are part
     * of the record, so that the end of the shard leader repeats only what was completed in the last moments.
     */
    @Test
    fun `a huge array takes few writes, and its owner's end repeats little of it`() =
        forEachSeed {
            fleet.cloud.bootMs = { 1000L }
            var writes = 0
            val jobId = submit(0, "sweep", HUGE, "cores" to 0.25, "loaners" to false, runMs = 1500)
            fleet.stateFaults.holdWriteOf = { _, body ->
                if (jobId in body) writes++
                null
            }
            runUntil(fleet.lease * 10, "a third is done") { (fleet.rules.completed[jobId]?.size ?: 0) > HUGE / 3 }
            val starts = fleet.rules.starts
            val done = fleet.rules.completed[jobId]!!.size
            fleet.crash(0)
            runUntil(fleet.lease * 3, "another owner goes on") { (fleet.rules.completed[jobId]?.size ?: 0) > HUGE / 2 }
            fleet.startNode(0)
            runUntil(fleet.lease * 20, "all is done") { fleet.rules.completed[jobId]?.size == HUGE }
            assertTrue(writes < HUGE / 2, "$writes writes for $HUGE tasks")
            assertTrue(
                fleet.rules.starts < HUGE * 11 / 10 + 500,
                "${fleet.rules.starts} starts, $starts of them for the first $done",
            )
        }

    private companion object {
        const val STORM_QUESTIONS_PER_S = 150
        const val HUGE = 2000
    }
}
