package micatally.sim

import kotlinx.coroutines.launch
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
        spec("daemon", 2).also { s ->
            assertEquals(201, f.asked(0, "POST", "/work", s.source.bytes()).first)
            allRun(listOf(s.jobId))
            for (m in tasks(s.jobId).map { it.machine }.distinct()) f.workers.loseMachine(worker(m))
            runUntil(f.lease, "they are lost") { tasks(s.jobId).isEmpty() }
            allRun(listOf(s.jobId))
        }

    /** The submission is repeated at node 0, which has its shard and is still loading it, since the state service is slow. */
    private fun Scenario.repeatWhileLoading(s: JobSpec) {
        val shard = f.live[0]!!.jobManager.own()!!
        f.scope.launch { f.users.askNode(0, "POST", "/work", s.source.bytes()) }
        runUntil(2000, "it is being looked into") { s.jobId in shard.jobs }
        assertEquals(ShardState.LOADING, shard.state)
        f.runFor(f.lease / 2)
        f.net.slowMs.clear()
    }

    /** Found by the meeting of late writes (seed 3): while a repeated submission waited for the state service at another node,
     * that node took the tasks of the real owner for strays, and ended them. */
    @Test
    fun `a repeated submission that waits to be stored ends nobody's tasks`() =
        scenario(8, big) {
            val s = inSecondAttempt()
            val before = f.rules.running.toSet()
            f.stateFaults.holdWriteOf = { n, body -> if (n == 1 && "\"put\":\"job/${s.jobId}\"" in body) 12_000 else null }
            f.scope.launch { f.users.askNode(1, "POST", "/work", s.source.bytes()) }
            f.runFor(500)
            // It has orders of its own for the same machine.
            val own = submit(1, "daemon", 2)
            allRun(listOf(own))
            assertTrue(tasks(own).any { t -> before.any { it.machine == t.machine } }, "side by side")
            f.runFor(f.lease / 2)
            assertTrue(f.rules.running.containsAll(before))
        }

    /** A submission that was repeated at its restarted node before that had loaded its jobs hid the record from it: nobody owned
     * the job any more, it was neither run nor could it be cancelled. */
    @Test
    fun `a submission repeated while a ledger is loaded does not hide the job`() =
        scenario(10, big) {
            val s = spec("daemon", 2)
            assertEquals(201, f.asked(0, "POST", "/work", s.source.bytes()).first)
            allRun(listOf(s.jobId))
            f.crash(0)
            f.net.slowMs["state"] = 600
            f.startNode(0)
            while (f.live[0]!!.jobManager.own() == null) f.step(1)
            repeatWhileLoading(s)
            f.runFor(f.lease / 2)
            assertEquals(
                micatally.job.JobState.OPEN,
                f.live[0]!!
                    .jobManager
                    .job(s.jobId)
                    ?.durableState,
            )
            cancel(s.jobId, listOf(0, 1, 2))
            runUntil(f.lease, "it can be cancelled") { f.rules.isCancelled(s.jobId) }
        }

    /** The same after a shard was lost and taken back by one and the same process: what it had written itself before was taken
     * for the lost answer to the repeat, and the repeat written over it: done tasks and attempts were gone, and ran twice. */
    @Test
    fun `a submission repeated while a ledger is taken back does not overwrite the job`() =
        scenario(11, big) {
            val s = inSecondAttempt()
            val before = f.rules.starts
            val first = f.live[0]!!.jobManager.own()
            f.stateFaults.refusedHosts.add("n0")
            runUntil(f.lease * 2, "another one takes the ledger") { others.any { holdsOf(it, 0) } }
            f.stateFaults.refusedHosts.clear()
            f.net.slowMs["state"] = 600
            runUntil(f.lease * 2, "it is taken back") {
                f.live[0]!!
                    .jobManager
                    .own()
                    .let { it != null && it !== first }
            }
            repeatWhileLoading(s)
            f.runFor(f.lease)
            assertEquals(before, f.rules.starts)
            assertEquals(
                2,
                f.live[0]!!
                    .jobManager
                    .job(s.jobId)
                    ?.attempts
                    ?.size,
            )
        }
}
