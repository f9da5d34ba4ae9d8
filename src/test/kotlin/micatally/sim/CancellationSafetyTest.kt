package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.membership.LeadershipState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * After a cancellation has been confirmed to its user, no controller starts a task of the job, even if controllers
 * crash or shards change leaders meanwhile.
 */
class CancellationSafetyTest {
    /**
     * Guards two rules: every write is conditional on the `modRevision` of the shard's acquisition, and the list of a
     * cancelled job's tasks is written in the same transaction as the job's record.
     */
    @Test
    fun `cancellations hold while their shard is taken over and returned`() =
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
            runUntil(fleet.lease * 2, "another node takes over the shard") { otherNodes.any { isLeaderOf(it, 0) } }
            fleet.runFor(fleet.lease / 5)
            fleet.startNode(0)
            runUntil(fleet.lease * 2, "node 0 leads its shard again") { isLeaderOf(0, 0) }
            fleet.runFor(fleet.lease * 2)
            assertTrue(jobIds.all { fleet.rules.isCancelled(it) })
            checkRecovery(jobIds)
        }

    /**
     * Guards the confirmation rule: while some controller that may still answer workers has not received a
     * cancellation, no node confirms it to its user, not even one that reads it from the state store. The rule has to
     * hold because tasks in a zone that is cut off go on as long as their controller answers them (see
     * [PartitionTest]).
     */
    @Test
    fun `a cancellation is confirmed once all controllers know of it, or a lease after it was stored`() =
        withFleet(9) { fleet ->
            val jobId = fleet.submit(0, 1, "daemon", 3)
            fleet.runFor(20_000)
            fleet.rules.asksToCancel(jobId)
            fleet.net.cuts.add(SimNet.Cut({ from, _ -> from.name == "n1" }, CutMode.HOLD))
            // The machines get no commands, so there is no termination evidence for the tasks at once.
            for (machine in fleet.rules.running
                .map { it.machine }
                .toSet()) {
                fleet.net.inboundBlocked.add(machine)
            }
            val askedAt = fleet.now
            assertEquals(503, fleet.asked(0, "POST", "/work/$jobId/cancel").first)
            fleet.runFor(3000)
            assertEquals(503, fleet.asked(2, "GET", "/work/$jobId").first)
            var status = 0
            while (status != 200 && fleet.now < askedAt + 60_000) {
                fleet.runFor(1000)
                status = fleet.asked(0, "POST", "/work/$jobId/cancel").first
            }
            assertEquals(200, status)
            assertTrue(fleet.rules.running.isEmpty() || fleet.now - askedAt >= fleet.settings[0].cancellationDelayMs)
        }

    /**
     * Guards against an acknowledgement that is lost with its process: a controller acknowledged a cancellation and
     * crashed before the list of cancelled tasks was in the state store. The next process of that host, cut off at
     * once, answered workers without knowing of the cancellation. So the cancellation and the list are written in one
     * transaction, an acknowledgement counts only after it, and every later contact with the state store brings the
     * list.
     */
    @Test
    fun `a restarted controller knows the cancellations that its former process acknowledged`() =
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
            runUntil(fleet.lease, "the cancellation is confirmed") { fleet.rules.isCancelled(jobId) }
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
     * Guards [micatally.membership.Membership.mayStart]: a node that did not know that its shard had another leader
     * went on sending start commands of a job that had been cancelled at the new leader.
     */
    @Test
    fun `a leader that is cut off sends no start command after a cancellation was confirmed`() =
        scenario(6, largeDeployment) {
            val zone = zoneOf(0)
            val first = submit(0, "daemon", 1, "circuit" to zone, "cores" to 5.0)
            allRun(listOf(first))
            val machine = tasks(first).single().machine
            // The machine answers too late and sends no heartbeats, so the start command of its next task is repeated.
            fleet.net.responseDelayMs[machine] = fleet.lease
            fleet.net.outboundBlocked.add(machine)
            val jobId = submit(0, "daemon", 1, "circuit" to zone, "cores" to 1.0)
            runUntil(
                fleet.lease,
                "the job runs on the same machine",
            ) { tasks(jobId).singleOrNull()?.machine == machine }
            cut(CutMode.HOLD) { from, to -> from.name == "n0" && (to.name == "state" || to.name.startsWith("n")) }
            cut(CutMode.HOLD) { from, to -> from.name == machine && to.name in listOf("n1", "n2") }
            runUntil(fleet.lease * 2, "another node takes over the shard") { otherNodes.any { isLeaderOf(it, 0) } }
            cancel(jobId, otherNodes)
            runUntil(fleet.lease * 2, "the cancellation is confirmed") { fleet.rules.isCancelled(jobId) }
            fleet.runFor(fleet.cancelMs)
            assertEquals(0, fleet.rules.runsSentAfterCancel)
        }
}
