package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * All controllers give users consistent answers about a job, and no later answer contradicts an earlier one. This also
 * holds while the job's state is being written, when the state store's response is lost, and after the job's shard has
 * moved to another controller.
 */
class AnswerConsistencyTest {
    /**
     * Guards [micatally.job.Job.isEndBeingWritten]: while the final state of a job is being written, no controller
     * answers from memory.
     */
    @Test
    fun `all nodes answer alike right after a job is accepted, done or cancelled`() =
        forEachSeed {
            fleet.stateFaults.lostResponseShare = 0.2
            repeat(24) { i ->
                val spec = spec("sweep", 1 + i % 3)
                fleet.workers.fixedRunMs[spec.jobId] = 400L + fleet.random.nextLong(3000)
                fleet.scope.launch {
                    delay(fleet.random.nextLong(20_000))
                    fleet.users.launchUser(
                        spec,
                        if (i % 2 == 0) fleet.random.nextLong(3000) else null,
                        pollAll = true,
                    )
                }
            }
            fleet.runFor(60_000)
            fleet.stateFaults.lostResponseShare = 0.0
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
     * Guards [micatally.job.Job.isEndBeingWritten] where the shard leader does not receive the response to the write of
     * the final state: other controllers may read that state before the leader knows that it is durable.
     */
    @Test
    fun `all nodes answer alike when the response to the write of a final state is lost`() =
        forEachSeed {
            val done = submit(0, "sweep", 2, runMs = 4000)
            val cancelled = submitLongArray(0, 1)
            val lostWrites = ArrayList<String>()
            fleet.stateFaults.losesResponseOf =
                { node, body ->
                    node == 0 &&
                        (done in body && "\"e\":\"d\"" in body || cancelled in body && "\"e\":\"w\"" in body).also {
                            if (it) {
                                lostWrites
                                    .add(
                                        body,
                                    )
                            }
                        }
                }
            allRun(listOf(cancelled))
            runUntil(60_000, "the final state of $done is written and the response lost") { lostWrites.isNotEmpty() }
            repeat(40) {
                fleet.users.pollAllNodes(fleet.rules.specs.getValue(done))
                fleet.runFor(100)
            }
            cancel(cancelled, listOf(0))
            runUntil(20_000, "the final state of $cancelled is written and the response lost") {
                lostWrites.any {
                    cancelled in
                        it
                }
            }
            repeat(40) {
                fleet.users.pollAllNodes(fleet.rules.specs.getValue(cancelled))
                fleet.runFor(100)
            }
            assertTrue(fleet.rules.isDone(done))
            fleet.stateFaults.losesResponseOf = { _, _ -> false }
            checkRecovery(listOf(done, cancelled))
            assertTrue(fleet.rules.isCancelled(cancelled))
        }

    /**
     * Guards two rules: the state DONE is final, so a cancellation does not change it; and a user is answered only once
     * the state store has confirmed the state ([micatally.api.UserApi]).
     */
    @Test
    fun `a cancellation, a poll or a repeated submission arrives just as a job's last task completes`() =
        forEachSeed {
            val jobIds = (1..12).map { submit(it % 3, "sweep", 1 + it % 2, runMs = 4000L) }
            var endedCount = 0
            val unfinished = jobIds.toMutableSet()
            val until = fleet.now + 90_000
            while (unfinished.isNotEmpty() && fleet.now < until) {
                fleet.step(10)
                for (jobId in unfinished.toList()) {
                    if (fleet.rules.completed[jobId]?.size ==
                        fleet.rules.specs
                            .getValue(jobId)
                            .taskCount
                    ) {
                        unfinished.remove(jobId)
                        endedCount++
                        when (endedCount % 3) {
                            0 -> cancel(jobId, listOf(0, 1, 2))
                            1 -> {
                                cancel(jobId, listOf(endedCount % 2))
                                fleet.users.pollAllNodes(fleet.rules.specs.getValue(jobId))
                            }
                            else -> fleet.users.pollAllNodes(fleet.rules.specs.getValue(jobId))
                        }
                    }
                }
            }
            assertEquals(12, endedCount, "the last task of each job completed")
            fleet.runFor(20_000)
            checkRecovery(jobIds)
            for (jobId in jobIds) assertTrue(fleet.rules.isFinal(jobId))
        }

    /**
     * Guards against a stale answer: a node takes over a shard and then loses the state store. Meanwhile the shard's
     * own host returns and cancels a job for its user. The first node must not answer from memory that the job still
     * runs. For jobs of a shard that it has taken over, a node answers only after it has asked the state store. In such
     * a node, whose workers knew a higher fencing token, users' requests also hung once, because it requested the
     * shared keys without pause.
     */
    @Test
    fun `a node does not answer from memory for a shard that it has taken over`() =
        withFleet(1) { fleet ->
            val jobId = fleet.submit(0, 1, "daemon", 1)
            fleet.runFor(20_000)
            fleet.crash(0)
            fleet.runFor(15_000)
            val newLeader = (1..2).first { fleet.live[it]!!.jobManager.job(jobId) != null }
            fleet.stateFaults.refusedHosts.add("n$newLeader")
            fleet.startNode(0)
            fleet.runFor(1500)
            fleet.rules.asksToCancel(jobId)
            assertEquals(200 to "withdrawn", fleet.asked(0, "POST", "/work/$jobId/cancel"))
            val (status, word) = fleet.asked(newLeader, "GET", "/work/$jobId")
            assertTrue(status == 503 || word == "withdrawn", "$status $word")
        }
}
