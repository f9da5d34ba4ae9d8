package micatally.sim

import kotlinx.coroutines.launch
import micatally.job.JobState
import micatally.job.ShardState
import micatally.wire.JobSpec
import micatally.wire.bytes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A repeated submission, at any controller and at any time, does not change the job or its tasks. */
class IdempotentSubmissionTest {
    /**
     * Submits a service at node 0 and loses the machines of its tasks, so that they run under their second attempt. If
     * the job were created again, its attempts would have other numbers.
     */
    private fun Scenario.submitServiceInSecondAttempt() =
        spec("daemon", 2).also { spec ->
            assertEquals(201, fleet.asked(0, "POST", "/work", spec.source.bytes()).first)
            allRun(listOf(spec.jobId))
            for (machine in tasks(spec.jobId).map { it.machine }.distinct()) fleet.workers.loseMachine(worker(machine))
            runUntil(fleet.lease, "its tasks are lost") { tasks(spec.jobId).isEmpty() }
            allRun(listOf(spec.jobId))
        }

    /**
     * Repeats the submission at node 0, which leads its shard and is still loading it because the state store is slow.
     */
    private fun Scenario.repeatWhileLoading(spec: JobSpec) {
        val shard = fleet.live[0]!!.jobManager.ownShard()!!
        fleet.scope.launch { fleet.users.askNode(0, "POST", "/work", spec.source.bytes()) }
        runUntil(2000, "the shard holds the repeated submission") { spec.jobId in shard.jobs }
        assertEquals(ShardState.LOADING, shard.state)
        fleet.runFor(fleet.lease / 2)
        fleet.net.extraLatencyMs.clear()
    }

    /**
     * Guards the rule that a job whose record is not stored yet owns no tasks. While a repeated submission waited for
     * the state store at another node, that node took the tasks of the job's real leader for tasks of no attempt, and
     * stopped them.
     */
    @Test
    fun `a repeated submission that waits to be stored stops no task`() =
        scenario(8, largeDeployment) {
            val spec = submitServiceInSecondAttempt()
            val before = fleet.rules.running.toSet()
            fleet.stateFaults.holdWriteOf =
                { node, body -> if (node == 1 && "\"put\":\"job/${spec.jobId}\"" in body) 12_000 else null }
            fleet.scope.launch { fleet.users.askNode(1, "POST", "/work", spec.source.bytes()) }
            fleet.runFor(500)
            // Node 1 must have reason to send commands to the same machine.
            val ownJob = submit(1, "daemon", 2)
            allRun(listOf(ownJob))
            assertTrue(
                tasks(ownJob).any { task ->
                    before.any { it.machine == task.machine }
                },
                "tasks of both jobs run on one machine",
            )
            fleet.runFor(fleet.lease / 2)
            assertTrue(fleet.rules.running.containsAll(before))
        }

    /**
     * Guards the rule that loading a shard replaces a job that is not stored yet. A submission that was repeated at a
     * restarted node, before that node had loaded its jobs, hid the job's record: no controller led the job any more,
     * and it was neither run nor could it be cancelled.
     */
    @Test
    fun `a submission repeated while its shard is being loaded does not hide the job`() =
        scenario(10, largeDeployment) {
            val spec = spec("daemon", 2)
            assertEquals(201, fleet.asked(0, "POST", "/work", spec.source.bytes()).first)
            allRun(listOf(spec.jobId))
            fleet.crash(0)
            fleet.net.extraLatencyMs["state"] = 600
            fleet.startNode(0)
            while (fleet.live[0]!!.jobManager.ownShard() == null) fleet.step(1)
            repeatWhileLoading(spec)
            fleet.runFor(fleet.lease / 2)
            assertEquals(
                JobState.OPEN,
                fleet.live[0]!!
                    .jobManager
                    .job(spec.jobId)
                    ?.durableState,
            )
            cancel(spec.jobId, listOf(0, 1, 2))
            runUntil(fleet.lease, "the job can be cancelled") { fleet.rules.isCancelled(spec.jobId) }
        }

    /**
     * Guards the rule that a record states in which term (process and fencing token) it was written. When a process had
     * lost its shard and acquired it again, it took the record that it had written earlier for the result of the
     * repeated submission, whose response had been lost, and wrote the repeated submission over it. Completed tasks and
     * attempts were forgotten, and tasks ran twice.
     */
    @Test
    fun `a submission repeated while its shard is acquired again does not overwrite the job`() =
        scenario(11, largeDeployment) {
            val spec = submitServiceInSecondAttempt()
            val before = fleet.rules.starts
            val first = fleet.live[0]!!.jobManager.ownShard()
            fleet.stateFaults.refusedHosts.add("n0")
            runUntil(fleet.lease * 2, "another node takes over the shard") { otherNodes.any { isLeaderOf(it, 0) } }
            fleet.stateFaults.refusedHosts.clear()
            fleet.net.extraLatencyMs["state"] = 600
            runUntil(fleet.lease * 2, "node 0 acquires its shard again") {
                fleet.live[0]!!
                    .jobManager
                    .ownShard()
                    .let { it != null && it !== first }
            }
            repeatWhileLoading(spec)
            fleet.runFor(fleet.lease)
            assertEquals(before, fleet.rules.starts)
            assertEquals(
                2,
                fleet.live[0]!!
                    .jobManager
                    .job(spec.jobId)
                    ?.attempts
                    ?.size,
            )
        }
}
