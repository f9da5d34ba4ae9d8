package micatally.sim

import kotlinx.coroutines.launch
import micatally.job.JobState
import micatally.job.ShardState
import micatally.wire.JobSpec
import micatally.wire.bytes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A submission that is repeated, at any controller and at any moment, leaves the job and its tasks as they are. */
class IdempotentSubmissionTest {
    /** A service of node 0 whose tasks have lost their first machines: a job made anew would number them otherwise. */
    private fun Scenario.inSecondAttempt() =
        spec("daemon", 2).also { spec ->
            assertEquals(201, fleet.asked(0, "POST", "/work", spec.source.bytes()).first)
            allRun(listOf(spec.jobId))
            for (machine in tasks(spec.jobId).map { it.machine }.distinct()) fleet.workers.loseMachine(worker(machine))
            runUntil(fleet.lease, "they are lost") { tasks(spec.jobId).isEmpty() }
            allRun(listOf(spec.jobId))
        }

    /** The submission is repeated at node 0, which has its shard and is still loading it, since the state store is slow. */
    private fun Scenario.repeatWhileLoading(spec: JobSpec) {
        val shard = fleet.live[0]!!.jobManager.ownShard()!!
        fleet.scope.launch { fleet.users.askNode(0, "POST", "/work", spec.source.bytes()) }
        runUntil(2000, "it is being looked into") { spec.jobId in shard.jobs }
        assertEquals(ShardState.LOADING, shard.state)
        fleet.runFor(fleet.lease / 2)
        fleet.net.slowMs.clear()
    }

    /**
     * Found by the scenario of late writes (seed 3): while a repeated submission waited for the state store at another
     * node, that node took the tasks of the job's real leader for strays, and ended them. Guard: a job whose record is
     * not stored yet owns no tasks.
     */
    @Test
    fun `a repeated submission that waits to be stored ends nobody's tasks`() =
        scenario(8, largeDeployment) {
            val spec = inSecondAttempt()
            val before = fleet.rules.running.toSet()
            fleet.stateFaults.holdWriteOf =
                { node, body -> if (node == 1 && "\"put\":\"job/${spec.jobId}\"" in body) 12_000 else null }
            fleet.scope.launch { fleet.users.askNode(1, "POST", "/work", spec.source.bytes()) }
            fleet.runFor(500)
            // It has orders of its own for the same machine.
            val own = submit(1, "daemon", 2)
            allRun(listOf(own))
            assertTrue(tasks(own).any { task -> before.any { it.machine == task.machine } }, "side by side")
            fleet.runFor(fleet.lease / 2)
            assertTrue(fleet.rules.running.containsAll(before))
        }

    /**
     * A submission that was repeated at its restarted node before that had loaded its jobs hid the record: nobody led
     * the job any more, it was neither run nor could it be cancelled. Guard: the load replaces a job that is not
     * stored yet.
     */
    @Test
    fun `a submission repeated while a shard is loaded does not hide the job`() =
        scenario(10, largeDeployment) {
            val spec = spec("daemon", 2)
            assertEquals(201, fleet.asked(0, "POST", "/work", spec.source.bytes()).first)
            allRun(listOf(spec.jobId))
            fleet.crash(0)
            fleet.net.slowMs["state"] = 600
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
            runUntil(fleet.lease, "it can be cancelled") { fleet.rules.isCancelled(spec.jobId) }
        }

    /**
     * The same after one process had lost a shard and acquired it again: its own earlier write was taken for the lost
     * answer to the repeat, and the repeat was written over it: completed tasks and attempts were gone, and ran twice.
     * Guard: a record says in which term (process and fencing token) it was written.
     */
    @Test
    fun `a submission repeated while a shard is taken back does not overwrite the job`() =
        scenario(11, largeDeployment) {
            val spec = inSecondAttempt()
            val before = fleet.rules.starts
            val first = fleet.live[0]!!.jobManager.ownShard()
            fleet.stateFaults.refusedHosts.add("n0")
            runUntil(fleet.lease * 2, "another one takes the shard") { others.any { isLeaderOf(it, 0) } }
            fleet.stateFaults.refusedHosts.clear()
            fleet.net.slowMs["state"] = 600
            runUntil(fleet.lease * 2, "it is taken back") {
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
