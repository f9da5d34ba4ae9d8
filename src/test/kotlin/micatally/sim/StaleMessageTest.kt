package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Heartbeats and commands that arrive late, after the incarnation, the attempt or the leader they speak of has been replaced,
 * undo nothing and start nothing.
 */
class StaleMessageTest {
    /**
     * Guard: a heartbeat that lacks a task is no termination evidence ([micatally.job.JobManager.terminate]), and only a
     * newer (incarnation, sequence number) counts.
     */
    @Test
    fun `an old report reaches every controller just as a new leader begins`() =
        forEachSeed(largeDeployment) {
            fleet.net.keepReports = true
            fleet.runFor(fleet.lease / 2)
            val jobIds = (0..2).map { submit(it, "daemon", 2) } + (0..2).map { submitLongArray(it, 3) }
            runUntil(fleet.lease * 3, "the first tasks run") { fleet.rules.running.size >= 4 }
            fleet.net.keepReports = false
            allRun(jobIds)
            assertTrue(fleet.net.keptCount > 0, "reports from before the tasks are kept")
            val starts = fleet.rules.starts
            fleet.crash(0)
            runUntil(fleet.lease * 2, "a new leader begins") { others.any { leaderOf(0) == it } }
            fleet.net.deliverKept(listOf("n1", "n2"))
            fleet.startNode(0)
            fleet.runFor(fleet.lease * 3)
            assertEquals(starts, fleet.rules.starts, "nothing starts a second time")
            checkRecovery(jobIds)
        }

    /**
     * Guard: each command carries the fencing token and the machine's incarnation, and start commands without an
     * answer are remembered ([micatally.worker.Machine.unansweredRuns]).
     */
    @Test
    fun `a command or its answer is held up for seconds, and the machine then goes on`() =
        forEachSeed(largeDeployment) {
            val warm = submit(0, "daemon", 1)
            allRun(listOf(warm))
            for (worker in fleet.cloud.workers) {
                fleet.net.heldCommandsMs[worker.name] = 4000
                fleet.net.heldAnswersMs[worker.name] = if (worker.name.hashCode() % 2 == 0) 9000 else 0
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
            fleet.net.heldCommandsMs.clear()
            fleet.net.heldAnswersMs.clear()
            fleet.runFor(fleet.lease * 4)
            assertTrue(fleet.rules.isCancelled(jobIds[0]) && tasks(jobIds[0]).isEmpty())
            assertAllTasksRun(jobIds.drop(1))
            assertEquals(0, fleet.rules.runsSentAfterCancel)
        }

    /**
     * Guard: a heartbeat is as old as its (incarnation, sequence number); it does not undo what a new leader has done
     * since.
     */
    @Test
    fun `a report is held back until a new leader has acted, and then arrives there`() =
        forEachSeed(largeDeployment) {
            val jobIds = (1..3).map { submitLongArray(0, 2) }
            allRun(jobIds)
            fleet.net.keepReports = true
            fleet.runFor(fleet.lease / 2)
            fleet.net.keepReports = false
            val machines =
                fleet.rules.running
                    .map { it.machine }
                    .distinct()
            fleet.crash(0)
            runUntil(fleet.lease * 2, "a new leader begins") { others.any { isLeaderOf(it, 0) } }
            for (jobId in jobIds.take(2)) cancel(jobId, others)
            runUntil(
                fleet.lease * 2,
                "it has acted",
            ) { jobIds.take(2).all { tasks(it).isEmpty() && fleet.rules.isCancelled(it) } }
            fleet.workers.loseMachine(worker(machines.last()))
            fleet.runFor(fleet.lease / 2)
            fleet.net.deliverKept(listOf("n1", "n2"))
            fleet.startNode(0)
            fleet.runFor(fleet.lease * 5)
            assertEquals(2, tasks(jobIds[2]).size)
            assertEquals(0, fleet.rules.startsAfterCancel)
            checkRecovery(jobIds)
        }

    /** Guard: (incarnation, sequence number) orders heartbeats; tasks are identified by job, index and attempt. */
    @Test
    fun `old reports arrive after newer ones, also from an earlier session or attempt`() =
        forEachSeed(largeDeployment) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 2), submitLongArray(it, 2)) }
            allRun(jobIds)
            fleet.net.keepReports = true
            fleet.runFor(fleet.lease / 3)
            fleet.net.keepReports = false
            // The next sessions: all leases end.
            val before = fleet.cloud.workers.associate { it.name to it.incarnation }
            val machines =
                fleet.cloud.workers
                    .map { it.name }
                    .toSet()
            fleet.net.mute.addAll(machines)
            fleet.runFor(fleet.lease * 5 / 4)
            fleet.net.mute.clear()
            assertTrue(
                fleet.cloud.workers.any { it.incarnation > (before[it.name] ?: Long.MAX_VALUE) },
                "sessions ended",
            )
            fleet.runFor(fleet.lease)
            fleet.net.deliverKept(listOf("n0", "n1", "n2"))
            cancel(jobIds[1], listOf(0, 1, 2))
            fleet.runFor(fleet.lease * 4)
            assertAllTasksRun(jobIds.drop(2))
            checkRecovery(jobIds)
        }
}
