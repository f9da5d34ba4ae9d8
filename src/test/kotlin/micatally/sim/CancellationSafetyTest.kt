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
    /**
     * Guard: every write is conditional on the `modRevision` of the shard's acquisition; a cancelled job's tasks are
     * written in the same transaction as its record.
     */
    @Test
    fun `jobs are cancelled in the seconds in which one controller's work changes hands`() =
        forEachSeed(largeDeployment) {
            val jobIds = (1..8).map { submitLongArray(0, 2) } + (1..4).map { submit(0, "daemon", 1) }
            allRun(jobIds)
            fleet.crash(0)
            for ((i, jobId) in jobIds.withIndex()) {
                fleet.scope.launch {
                    delay(fleet.lease * 6 / 10 + i * fleet.lease / 20)
                    cancel(jobId, listOf(1, 2))
                }
            }
            runUntil(fleet.lease * 2, "the shard changes hands") { others.any { isLeaderOf(it, 0) } }
            fleet.runFor(fleet.lease / 5)
            fleet.startNode(0)
            runUntil(fleet.lease * 2, "and back") { isLeaderOf(0, 0) }
            fleet.runFor(fleet.lease * 2)
            assertTrue(jobIds.all { fleet.rules.isCancelled(it) })
            checkRecovery(jobIds)
        }

    /**
     * The other side of a zone that outlives its cut. Guard: a cancellation is not confirmed to its user while a
     * controller that may answer workers has not received it, nor by a node that reads it from the state store.
     */
    @Test
    fun `a cancellation is told when all controllers know of it, or a lease after it was published`() =
        withFleet(9) { fleet ->
            val jobId = fleet.submit(0, 1, "daemon", 3)
            fleet.runFor(20_000)
            fleet.rules.asksToCancel(jobId)
            fleet.net.cuts.add(SimNet.Cut({ from, _ -> from.name == "n1" }, CutMode.HOLD))
            // The tasks' machines don't answer their owner, so that their end is not proven at once.
            for (machine in fleet.rules.running
                .map { it.machine }
                .toSet()) {
                fleet.net.deaf.add(machine)
            }
            val asked = fleet.now
            assertEquals(503, fleet.asked(0, "POST", "/work/$jobId/cancel").first)
            fleet.runFor(3000)
            assertEquals(503, fleet.asked(2, "GET", "/work/$jobId").first)
            var status = 0
            while (status != 200 && fleet.now < asked + 60_000) {
                fleet.runFor(1000)
                status = fleet.asked(0, "POST", "/work/$jobId/cancel").first
            }
            assertEquals(200, status)
            assertTrue(fleet.rules.running.isEmpty() || fleet.now - asked >= fleet.settings[0].cancellationDelayMs)
        }

    /**
     * An acknowledgement counted though the process that gave it had ended before the tasks were in the state store:
     * the next process of that host, cut off at once, answered the workers without having received the cancellation.
     * Guard: the cancellation and the list of its tasks are one transaction; an acknowledgement counts only after it,
     * and every later contact with the state store brings the list.
     */
    @Test
    fun `what a process confirmed its successor knows from its start`() =
        scenario(5, largeDeployment) {
            val zone = zoneOf(0)
            val jobId = submit(1, "sweep", 3, "circuit" to zone, runMs = 3_600_000)
            allRun(listOf(jobId))
            val machines =
                fleet.rules.running
                    .map { it.machine }
                    .toSet()
            cut(CutMode.HOLD) { from, to -> from.name in machines && to.name in listOf("n1", "n2") }
            fleet.stateFaults.holdWriteOf =
                { _, body -> if ("c/kill/" in body && "\"put\":\"job/" !in body) 12_000 else null }
            cancel(jobId, listOf(1, 2))
            runUntil(fleet.lease, "it is told") { fleet.rules.isCancelled(jobId) }
            fleet.crash(0)
            fleet.runFor(fleet.lease * 9 / 20)
            fleet.startNode(0)
            while (fleet.live[0]!!.membership.leadership != LeadershipState.LEADING) fleet.step(1)
            fleet.state.down = true
            cut(CutMode.HOLD) { from, to -> from.name == "n0" && to.name.startsWith("n") }
            fleet.runFor(fleet.cancelMs * 5 / 4)
            assertTrue(tasks(jobId).isEmpty())
        }

    /**
     * A node that had not learnt that its shard had another leader went on sending starts of jobs that were cancelled
     * there. Guard: [micatally.membership.Membership.mayStart].
     */
    @Test
    fun `a leader that hears of nothing sends no start after a cancellation was told`() =
        scenario(6, largeDeployment) {
            val zone = zoneOf(0)
            val first = submit(0, "daemon", 1, "circuit" to zone, "cores" to 5.0)
            allRun(listOf(first))
            val machine = tasks(first).single().machine
            // Its answers come too late and it reports to nobody, so the run of the next task on it is repeated.
            fleet.net.heldAnswersMs[machine] = fleet.lease
            fleet.net.mute.add(machine)
            val jobId = submit(0, "daemon", 1, "circuit" to zone, "cores" to 1.0)
            runUntil(fleet.lease, "it runs there") { tasks(jobId).singleOrNull()?.machine == machine }
            cut(CutMode.HOLD) { from, to -> from.name == "n0" && (to.name == "state" || to.name.startsWith("n")) }
            cut(CutMode.HOLD) { from, to -> from.name == machine && to.name in listOf("n1", "n2") }
            runUntil(fleet.lease * 2, "another one takes the shard") { others.any { isLeaderOf(it, 0) } }
            cancel(jobId, others)
            runUntil(fleet.lease * 2, "it is told") { fleet.rules.isCancelled(jobId) }
            fleet.runFor(fleet.cancelMs)
            assertEquals(0, fleet.rules.runsSentAfterCancel)
        }
}
