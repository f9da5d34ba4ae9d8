package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.membership.LeadershipState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * A cancellation that was confirmed to its user holds: no controller starts a task of the job afterwards, whichever
 * processes ended or changed places meanwhile.
 */
class CancellationSafetyTest {
    /** Guard: every write is conditional on the mark of the shard's acquisition; a cancelled job's tasks are written with its record. */
    @Test
    fun `jobs are cancelled in the seconds in which one controller's work changes hands`() =
        each(big) {
            val jobIds = (1..8).map { longArray(0, 2) } + (1..4).map { submit(0, "daemon", 1) }
            allRun(jobIds)
            f.crash(0)
            for ((i, r) in jobIds.withIndex()) {
                f.scope.launch {
                    delay(f.lease * 6 / 10 + i * f.lease / 20)
                    cancel(r, listOf(1, 2))
                }
            }
            runUntil(f.lease * 2, "the ledger changes hands") { others.any { holdsOf(it, 0) } }
            f.runFor(f.lease / 5)
            f.startNode(0)
            runUntil(f.lease * 2, "and back") { holdsOf(0, 0) }
            f.runFor(f.lease * 2)
            assertTrue(jobIds.all { f.rules.isCancelled(it) })
            afterwards(jobIds)
        }

    /** The other side of it: a cancellation is not told while a controller that may answer workers has not heard of it, nor
     * by a node that reads it from the state service. */
    @Test
    fun `a cancellation is told when all controllers know of it, or a lease after it was published`() =
        fleet(9) { f ->
            val jobId = f.submit(0, 1, "daemon", 3)
            f.runFor(20_000)
            f.rules.asksToCancel(jobId)
            f.net.cuts.add(SimNet.Cut({ x, _ -> x.name == "n1" }, CutMode.HOLD))
            // The tasks' machines don't answer their owner, so that their end is not proven at once.
            for (m in f.rules.running
                .map { it.machine }
                .toSet()) {
                f.net.deaf.add(m)
            }
            val asked = f.now
            assertEquals(503, f.asked(0, "POST", "/work/$jobId/cancel").first)
            f.runFor(3000)
            assertEquals(503, f.asked(2, "GET", "/work/$jobId").first)
            var status = 0
            while (status != 200 &&
                f.now < asked + 60_000
            ) {
                f.runFor(1000)
                status = f.asked(0, "POST", "/work/$jobId/cancel").first
            }
            assertEquals(200, status)
            assertTrue(f.rules.running.isEmpty() || f.now - asked >= f.settings[0].cancellationDelayMs)
        }

    /** A confirmation counted though the process that gave it had ended before the tasks lay in the state service: the next
     * process of that host, cut off at once, answered the workers without having heard of the cancellation. */
    @Test
    fun `what a process confirmed its successor knows from its start`() =
        scenario(5, big) {
            val zone = zoneOf(0)
            val jobId = submit(1, "sweep", 3, "circuit" to zone, runMs = 3_600_000)
            allRun(listOf(jobId))
            val machines =
                f.rules.running
                    .map { it.machine }
                    .toSet()
            cut(CutMode.HOLD) { a, b -> a.name in machines && b.name in listOf("n1", "n2") }
            f.stateFaults.holdWriteOf = { _, body -> if ("c/kill/" in body && "\"put\":\"job/" !in body) 12_000 else null }
            cancel(jobId, listOf(1, 2))
            runUntil(f.lease, "it is told") { f.rules.isCancelled(jobId) }
            f.crash(0)
            f.runFor(f.lease * 9 / 20)
            f.startNode(0)
            while (f.live[0]!!.membership.leadership != LeadershipState.LEADING) f.step(1)
            f.state.down = true
            cut(CutMode.HOLD) { a, b -> a.name == "n0" && b.name.startsWith("n") }
            f.runFor(f.cancelMs * 5 / 4)
            assertTrue(tasks(jobId).isEmpty())
        }

    /** A node that had not heard that its shard was another one's went on sending starts of jobs cancelled there. */
    @Test
    fun `a leader that hears of nothing sends no start after a cancellation was told`() =
        scenario(6, big) {
            val zone = zoneOf(0)
            val first = submit(0, "daemon", 1, "circuit" to zone, "cores" to 5.0)
            allRun(listOf(first))
            val m = tasks(first).single().machine
            // Its answers come too late and it reports to nobody, so the run of the next task on it is repeated.
            f.net.heldAnswersMs[m] = f.lease
            f.net.mute.add(m)
            val jobId = submit(0, "daemon", 1, "circuit" to zone, "cores" to 1.0)
            runUntil(f.lease, "it runs there") { tasks(jobId).singleOrNull()?.machine == m }
            cut(CutMode.HOLD) { a, b -> a.name == "n0" && (b.name == "state" || b.name.startsWith("n")) }
            cut(CutMode.HOLD) { a, b -> a.name == m && b.name in listOf("n1", "n2") }
            runUntil(f.lease * 2, "another one takes the ledger") { others.any { holdsOf(it, 0) } }
            cancel(jobId, others)
            runUntil(f.lease * 2, "it is told") { f.rules.isCancelled(jobId) }
            f.runFor(f.cancelMs)
            assertEquals(0, f.rules.runsSentAfterCancel)
        }
}
