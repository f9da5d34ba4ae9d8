package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Heartbeats and commands that arrive after their incarnation, attempt or leader has been replaced undo nothing and
 * start nothing.
 */
class StaleMessageTest {
    /**
     * Guards two rules: a heartbeat that lacks a task is no termination evidence
     * ([micatally.job.JobManager.terminate]), and only a heartbeat with a newer incarnation and sequence is applied.
     */
    @Test
    fun `an old heartbeat that reaches a new leader starts no task a second time`() =
        forEachSeed(largeDeployment) {
            fleet.net.keepsHeartbeats = true
            fleet.runFor(fleet.lease / 2)
            val jobIds = (0..2).map { submit(it, "daemon", 2) } + (0..2).map { submitLongArray(it, 3) }
            runUntil(fleet.lease * 3, "four tasks run") { fleet.rules.running.size >= 4 }
            fleet.net.keepsHeartbeats = false
            allRun(jobIds)
            assertTrue(fleet.net.keptHeartbeatCount > 0, "heartbeats from before the tasks are kept")
            val starts = fleet.rules.starts
            fleet.crash(0)
            runUntil(fleet.lease * 2, "another node takes over the shard") { otherNodes.any { leaderOf(0) == it } }
            fleet.net.deliverKeptHeartbeats(listOf("n1", "n2"))
            fleet.startNode(0)
            fleet.runFor(fleet.lease * 3)
            assertEquals(starts, fleet.rules.starts, "no task starts a second time")
            checkRecovery(jobIds)
        }

    /**
     * Guards two rules: each command carries the fencing token and the machine's incarnation, and start commands
     * without a response are remembered ([micatally.worker.SentRuns]).
     */
    @Test
    fun `commands and responses that are delayed while machines hang start nothing after a cancellation`() =
        forEachSeed(largeDeployment) {
            val firstJob = submit(0, "daemon", 1)
            allRun(listOf(firstJob))
            for (worker in fleet.cloud.workers) {
                fleet.net.commandDelayMs[worker.name] = 4000
                fleet.net.responseDelayMs[worker.name] = if (worker.name.hashCode() % 2 == 0) 9000 else 0
            }
            val jobIds = (0..2).map { submitLongArray(it, 3, "loaners" to false) } + submit(1, "daemon", 2)
            fleet.runFor(3000)
            cancel(jobIds[0], listOf(1, 2, 0))
            for (worker in fleet.cloud.workers) worker.hung = true
            fleet.runFor(6000)
            for (worker in fleet.cloud.workers) worker.hung = false
            fleet.crash(1)
            fleet.runFor(500)
            fleet.startNode(1)
            fleet.runFor(fleet.lease)
            fleet.net.commandDelayMs.clear()
            fleet.net.responseDelayMs.clear()
            fleet.runFor(fleet.lease * 4)
            assertTrue(fleet.rules.isCancelled(jobIds[0]) && tasks(jobIds[0]).isEmpty())
            assertAllTasksRun(jobIds.drop(1))
            assertEquals(0, fleet.rules.runsSentAfterCancel)
        }

    /**
     * Guards the order of heartbeats by incarnation and sequence: one that arrives late does not undo what a new leader
     * has done since.
     */
    @Test
    fun `heartbeats delayed until a new leader has cancelled jobs undo nothing`() =
        forEachSeed(largeDeployment) {
            val jobIds = (1..3).map { submitLongArray(0, 2) }
            allRun(jobIds)
            fleet.net.keepsHeartbeats = true
            fleet.runFor(fleet.lease / 2)
            fleet.net.keepsHeartbeats = false
            val machines =
                fleet.rules.running
                    .map { it.machine }
                    .distinct()
            fleet.crash(0)
            runUntil(fleet.lease * 2, "another node takes over the shard") { otherNodes.any { isLeaderOf(it, 0) } }
            for (jobId in jobIds.take(2)) cancel(jobId, otherNodes)
            runUntil(
                fleet.lease * 2,
                "the new leader has cancelled two jobs",
            ) { jobIds.take(2).all { tasks(it).isEmpty() && fleet.rules.isCancelled(it) } }
            fleet.workers.loseMachine(worker(machines.last()))
            fleet.runFor(fleet.lease / 2)
            fleet.net.deliverKeptHeartbeats(listOf("n1", "n2"))
            fleet.startNode(0)
            fleet.runFor(fleet.lease * 5)
            assertEquals(2, tasks(jobIds[2]).size)
            assertEquals(0, fleet.rules.startsAfterCancel)
            checkRecovery(jobIds)
        }

    /**
     * Guards two rules: incarnation and sequence order heartbeats, and a task is identified by job, index and attempt.
     */
    @Test
    fun `heartbeats of an earlier incarnation or attempt that arrive late change nothing`() =
        forEachSeed(largeDeployment) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 2), submitLongArray(it, 2)) }
            allRun(jobIds)
            fleet.net.keepsHeartbeats = true
            fleet.runFor(fleet.lease / 3)
            fleet.net.keepsHeartbeats = false
            // All leases expire, so that the workers begin new incarnations.
            val incarnationsBefore = fleet.cloud.workers.associate { it.name to it.incarnation }
            val machines =
                fleet.cloud.workers
                    .map { it.name }
                    .toSet()
            fleet.net.outboundBlocked.addAll(machines)
            fleet.runFor(fleet.lease * 5 / 4)
            fleet.net.outboundBlocked.clear()
            assertTrue(
                fleet.cloud.workers.any { it.incarnation > (incarnationsBefore[it.name] ?: Long.MAX_VALUE) },
                "workers have new incarnations",
            )
            fleet.runFor(fleet.lease)
            fleet.net.deliverKeptHeartbeats(listOf("n0", "n1", "n2"))
            cancel(jobIds[1], listOf(0, 1, 2))
            fleet.runFor(fleet.lease * 4)
            assertAllTasksRun(jobIds.drop(2))
            checkRecovery(jobIds)
        }
}
