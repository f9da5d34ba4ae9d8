package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Heartbeats and commands that arrive late, after the incarnation, the attempt or the leader they speak of has been replaced,
 * undo nothing and start nothing.
 */
class StaleMessageTest {
    /** Guard: reports that lack a task prove nothing ([micatally.job.JobManager.gone]), and only a newer (session, tick) counts. */
    @Test
    fun `an old report reaches every controller just as a new leader begins`() =
        each(big) {
            f.net.keepReports = true
            f.runFor(f.lease / 2)
            val jobIds = (0..2).map { submit(it, "daemon", 2) } + (0..2).map { longArray(it, 3) }
            runUntil(f.lease * 3, "the first tasks run") { f.rules.running.size >= 4 }
            f.net.keepReports = false
            allRun(jobIds)
            assertTrue(f.net.keptCount > 0, "reports from before the tasks are kept")
            val starts = f.rules.starts
            f.crash(0)
            runUntil(f.lease * 2, "a new leader begins") { others.any { leader(0) == it } }
            f.net.deliverKept(listOf("n1", "n2"))
            f.startNode(0)
            f.runFor(f.lease * 3)
            assertEquals(starts, f.rules.starts, "nothing starts a second time")
            afterwards(jobIds)
        }

    /** Guard: the token and the session that each command carries, and runs without an answer are remembered
     * ([micatally.worker.Machine.unansweredRuns]). */
    @Test
    fun `a command or its answer is held up for seconds, and the machine then goes on`() =
        each(big) {
            val warm = submit(0, "daemon", 1)
            allRun(listOf(warm))
            for (w in f.cloud.workers) {
                f.net.heldCommandsMs[w.name] = 4000
                f.net.heldAnswersMs[w.name] =
                    if (w.name.hashCode() % 2 == 0) 9000 else 0
            }
            val jobIds = (0..2).map { longArray(it, 3, "loaners" to false) } + submit(1, "daemon", 2)
            f.runFor(3000)
            cancel(jobIds[0], listOf(1, 2, 0))
            for (w in f.cloud.workers) w.hung = true
            f.runFor(6000)
            for (w in f.cloud.workers) w.hung = false
            f.crash(1)
            f.runFor(500)
            f.startNode(1)
            f.runFor(f.lease)
            f.net.heldCommandsMs.clear()
            f.net.heldAnswersMs.clear()
            f.runFor(f.lease * 4)
            assertTrue(f.rules.isCancelled(jobIds[0]) && tasks(jobIds[0]).isEmpty())
            for (r in jobIds.drop(1)) {
                assertEquals(
                    f.rules.specs
                        .getValue(r)
                        .taskCount,
                    tasks(r).size,
                    r,
                )
            }
            assertEquals(0, f.rules.runsSentAfterCancel)
        }

    /** Guard: a report is as old as its (session, tick); what a new leader has done since is not undone by it. */
    @Test
    fun `a report is held back until a new leader has acted, and then arrives there`() =
        each(big) {
            val jobIds = (1..3).map { longArray(0, 2) }
            allRun(jobIds)
            f.net.keepReports = true
            f.runFor(f.lease / 2)
            f.net.keepReports = false
            val machines =
                f.rules.running
                    .map { it.machine }
                    .distinct()
            f.crash(0)
            runUntil(f.lease * 2, "a new leader begins") { others.any { holdsOf(it, 0) } }
            for (r in jobIds.take(2)) cancel(r, others)
            runUntil(
                f.lease * 2,
                "it has acted",
            ) { jobIds.take(2).all { tasks(it).isEmpty() && f.rules.isCancelled(it) } }
            f.workers.loseMachine(worker(machines.last()))
            f.runFor(f.lease / 2)
            f.net.deliverKept(listOf("n1", "n2"))
            f.startNode(0)
            f.runFor(f.lease * 5)
            assertEquals(2, tasks(jobIds[2]).size)
            assertEquals(0, f.rules.startsAfterCancel)
            afterwards(jobIds)
        }

    /** Guard: (session, tick) orders reports; tasks are named by job, number and attempt. */
    @Test
    fun `old reports arrive after newer ones, also from an earlier session or attempt`() =
        each(big) {
            val jobIds = (0..2).flatMap { listOf(submit(it, "daemon", 2), longArray(it, 2)) }
            allRun(jobIds)
            f.net.keepReports = true
            f.runFor(f.lease / 3)
            f.net.keepReports = false
            // The next sessions: all leases end.
            val before = f.cloud.workers.associate { it.name to it.incarnation }
            val machines =
                f.cloud.workers
                    .map { it.name }
                    .toSet()
            f.net.mute.addAll(machines)
            f.runFor(f.lease * 5 / 4)
            f.net.mute.clear()
            assertTrue(f.cloud.workers.any { it.incarnation > (before[it.name] ?: Long.MAX_VALUE) }, "sessions ended")
            f.runFor(f.lease)
            f.net.deliverKept(listOf("n0", "n1", "n2"))
            cancel(jobIds[1], listOf(0, 1, 2))
            f.runFor(f.lease * 4)
            for (r in jobIds.drop(2)) {
                assertEquals(
                    f.rules.specs
                        .getValue(r)
                        .taskCount,
                    tasks(r).size,
                    r,
                )
            }
            afterwards(jobIds)
        }
}
