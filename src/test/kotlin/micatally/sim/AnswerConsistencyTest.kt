package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * What users are told about a job agrees between controllers and never goes back, also while its state is being written,
 * its answer is lost or its shard has moved to another controller.
 */
class AnswerConsistencyTest {
    /**
     * Guard: the final state of a job is not answered from memory while its write is under way
     * ([micatally.job.Job.isEndBeingWritten]).
     */
    @Test
    fun `users ask at all nodes right after a job was accepted, ended or cancelled, and some cancel at once`() =
        forEachSeed {
            fleet.stateFaults.lostAnswers = 0.2
            repeat(24) { i ->
                val spec = spec("sweep", 1 + i % 3)
                fleet.workers.fixedRunMs[spec.jobId] = 400L + fleet.random.nextLong(3000)
                fleet.scope.launch {
                    delay(fleet.random.nextLong(20_000))
                    fleet.users.launchUser(
                        spec,
                        if (i % 2 == 0) fleet.random.nextLong(3000) else null,
                        nosy = true,
                    )
                }
            }
            fleet.runFor(60_000)
            fleet.stateFaults.lostAnswers = 0.0
            fleet.runFor(30_000)
            assertTrue(
                fleet.rules.specs.keys
                    .count { fleet.rules.isDone(it) } >= 6 &&
                    fleet.rules.specs.keys
                        .count { fleet.rules.isCancelled(it) } >= 4,
                "jobs were done and cancelled",
            )
        }

    /**
     * Guard: [micatally.job.Job.isEndBeingWritten] again, here when the one answer is lost that would confirm the end to the
     * shard leader.
     */
    @Test
    fun `a transaction is carried out and its answer lost while other nodes read what it wrote`() =
        forEachSeed {
            val done = submit(0, "sweep", 2, runMs = 4000)
            val gone = submitLongArray(0, 1)
            val ends = ArrayList<String>()
            fleet.stateFaults.loseAnswerOf =
                { node, body ->
                    node == 0 &&
                        (done in body && "\"e\":\"d\"" in body || gone in body && "\"e\":\"w\"" in body).also {
                            if (it) {
                                ends
                                    .add(
                                        body,
                                    )
                            }
                        }
                }
            allRun(listOf(gone))
            runUntil(60_000, "the end of $done is written and its answer lost") { ends.isNotEmpty() }
            repeat(40) {
                fleet.users.pollAllNodes(fleet.rules.specs.getValue(done))
                fleet.runFor(100)
            }
            cancel(gone, listOf(0))
            runUntil(20_000, "the end of $gone is written and its answer lost") { ends.any { gone in it } }
            repeat(40) {
                fleet.users.pollAllNodes(fleet.rules.specs.getValue(gone))
                fleet.runFor(100)
            }
            assertTrue(fleet.rules.isDone(done))
            fleet.stateFaults.loseAnswerOf = { _, _ -> false }
            checkRecovery(listOf(done, gone))
            assertTrue(fleet.rules.isCancelled(gone))
        }

    /**
     * Guard: the state DONE is final and a cancellation leaves it as it is; an answer to a user waits for the state
     * store ([micatally.api.UserApi]).
     */
    @Test
    fun `a cancellation, a question or a repeat meets the end of a job's last task`() =
        forEachSeed {
            val jobIds = (1..12).map { submit(it % 3, "sweep", 1 + it % 2, runMs = 4000L) }
            var met = 0
            val waiting = jobIds.toMutableSet()
            val until = fleet.now + 90_000
            while (waiting.isNotEmpty() && fleet.now < until) {
                fleet.step(10)
                for (jobId in waiting.toList()) {
                    if (fleet.rules.completed[jobId]?.size ==
                        fleet.rules.specs
                            .getValue(jobId)
                            .taskCount
                    ) {
                        waiting.remove(jobId)
                        met++
                        when (met % 3) {
                            0 -> cancel(jobId, listOf(0, 1, 2))
                            1 -> {
                                cancel(jobId, listOf(met % 2))
                                fleet.users.pollAllNodes(fleet.rules.specs.getValue(jobId))
                            }
                            else -> fleet.users.pollAllNodes(fleet.rules.specs.getValue(jobId))
                        }
                    }
                }
            }
            assertEquals(12, met, "the last task of each ended")
            fleet.runFor(20_000)
            checkRecovery(jobIds)
            for (jobId in jobIds) assertTrue(fleet.rules.isFinal(jobId))
        }

    /**
     * Found by the simulation (seed 159): a node that had taken over a shard and then lost the state store went on
     * answering from memory after the shard's own host had come back and the user had cancelled the job there. Found
     * under load: such a node, whose workers know a higher fencing token, asked for the shared keys without pause, and
     * users' requests hung. Guard: a node answers for jobs of a shard that it has taken over only after it has asked
     * the state store.
     */
    @Test
    fun `a shard that was taken over is not answered for from memory`() =
        withFleet(1) { fleet ->
            val jobId = fleet.submit(0, 1, "daemon", 1)
            fleet.runFor(20_000)
            fleet.crash(0)
            fleet.runFor(15_000)
            val taker = (1..2).first { fleet.live[it]!!.jobManager.job(jobId) != null }
            fleet.stateFaults.refusedHosts.add("n$taker")
            fleet.startNode(0)
            fleet.runFor(1500)
            fleet.rules.asksToCancel(jobId)
            assertEquals(200 to "withdrawn", fleet.asked(0, "POST", "/work/$jobId/cancel"))
            val (status, word) = fleet.asked(taker, "GET", "/work/$jobId")
            assertTrue(status == 503 || word == "withdrawn", "$status $word")
        }
}
