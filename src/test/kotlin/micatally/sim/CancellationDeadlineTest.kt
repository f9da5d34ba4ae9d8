package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.peer.PeerPaths
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/**
 * The state store refuses the leader alone, another controller confirms cancellations, then the state store is down for
 * all for longer than the delay of a cancellation, while workers send their heartbeats to the old leader.
 */
class CancellationDeadlineTest {
    enum class Variant {
        REFUSED,
        HELD,
        RESET,
        CUT_FROM_PEERS,
        LEADER_RESTARTS,
        ONLY_THE_LEADER_REACHES_THE_MACHINES,
        OUTAGE_FIRST,
        OUTAGE_SECONDS_LATER,
        PEER_RESTARTS_AFTER_CONFIRMING,
        A_RUN_IS_REPEATED,
        TAKEN_OVER_FIRST,
        TAKEN_OVER_AND_CUT_FROM_PEERS,
    }

    companion object {
        @JvmStatic
        fun all() =
            Timing.DEPLOYMENTS.keys.flatMap { deployment ->
                Variant.entries
                    .filterIndexed { i, _ ->
                        "size" in deployment ||
                            i % 2 == deployment.length % 2
                    }.map { arrayOf<Any>(deployment, it) }
            }

        /** How many seeds each variant plays; more with `-Dgap.seeds=20`. */
        val seeds = (System.getProperty("gap.seeds") ?: "1").toInt()
    }

    /**
     * Guards: [micatally.settings.Settings.leadershipMs] (leadership, lease and slack fit into the delay of a
     * cancellation), the list of a cancelled job's tasks written with its record, and
     * [micatally.worker.CancelledTasks], checked in heartbeat answers and in commands.
     */
    @ParameterizedTest
    @MethodSource("all")
    fun `tasks are gone in time though the old leader goes on answering`(
        deployment: String,
        variant: Variant,
    ) {
        val timing = Timing.DEPLOYMENTS.getValue(deployment)
        for (seed in 1..seeds) scenario(seed * 100 + variant.ordinal, timing) { cancelAcrossOutage(variant) }
    }

    private fun Scenario.cancelAcrossOutage(variant: Variant) {
        // Jobs of every controller; all tasks are where the workers report to the leader, node 0.
        val zone = zoneOf(0)
        val doomed =
            ArrayList(
                (0 until fleet.nodes).flatMap { node ->
                    listOf(
                        submit(node, "daemon", 2, "circuit" to zone),
                        submit(
                            node,
                            "sweep",
                            3,
                            "circuit" to zone,
                            runMs = fleet.cancelMs * 10,
                        ),
                    )
                },
            )
        val kept = (0 until fleet.nodes).map { submit(it, "daemon", 2, "circuit" to zone) }
        allRun(doomed + kept)
        fleet.runFor(fleet.lease / 2)
        val machines = fleet.rules.running.mapTo(HashSet()) { it.machine }
        val cuts = ArrayList<SimNet.Cut>()
        if (variant == Variant.ONLY_THE_LEADER_REACHES_THE_MACHINES ||
            variant == Variant.TAKEN_OVER_AND_CUT_FROM_PEERS
        ) {
            cuts.add(
                cut(CutMode.HOLD) { from, to -> from.name in machines && to.name.startsWith("n") && to.name != "n0" },
            )
        }
        if (variant == Variant.A_RUN_IS_REPEATED) {
            // The answers of the machines come too late, so that the leader sends the same runs again and again.
            for (machine in machines) fleet.net.heldAnswersMs[machine] = fleet.lease
            val repeated = submit(0, "daemon", 1, "circuit" to zone)
            runUntil(fleet.lease * 3, "it runs") { tasks(repeated).isNotEmpty() }
            doomed += repeated
        }
        when (variant) {
            Variant.HELD -> cuts.add(cut(CutMode.HOLD) { from, to -> from.name == "n0" && to.name == "state" })
            Variant.RESET -> cuts.add(cut(CutMode.RESET) { from, to -> from.name == "n0" && to.name == "state" })
            else -> fleet.stateFaults.refusedHosts.add("n0")
        }
        if (variant == Variant.CUT_FROM_PEERS || variant == Variant.TAKEN_OVER_AND_CUT_FROM_PEERS) {
            cuts.add(cut(CutMode.HOLD) { from, to -> from.name == "n0" && to.name.startsWith("n") })
        }
        if (variant == Variant.TAKEN_OVER_FIRST || variant == Variant.TAKEN_OVER_AND_CUT_FROM_PEERS) {
            runUntil(fleet.lease * 2, "another node takes the shard") { others.any { isLeaderOf(it, 0) } }
        }
        if (variant == Variant.PEER_RESTARTS_AFTER_CONFIRMING) restartAfterConfirming(fleet.nodes - 1)
        val refusedAt = fleet.now
        fleet.runFor(fleet.lease / 20)
        val before = machines.associateWith { worker(it).incarnation }
        if (variant == Variant.OUTAGE_FIRST) {
            // The first confirmations are under way when the outage begins.
            for (jobId in doomed) cancel(jobId, others)
            fleet.runFor(60)
        } else {
            for (jobId in doomed) cancel(jobId, others)
            runUntil(fleet.lease * 3, "a cancellation is confirmed while the leader is refused") {
                doomed.any { fleet.rules.isCancelled(it) }
            }
            fleet.runFor(
                when (variant) {
                    Variant.OUTAGE_SECONDS_LATER -> fleet.lease / 4
                    else -> 50
                },
            )
        }
        if (variant == Variant.LEADER_RESTARTS) {
            fleet.crash(0)
            fleet.runFor(200)
            fleet.stateFaults.refusedHosts.clear()
            fleet.startNode(0)
            fleet.runFor(fleet.lease / 20)
        }
        val confirmed = doomed.filter { fleet.rules.isCancelled(it) }
        fleet.state.down = true
        fleet.runFor(fleet.lease / 3)
        fleet.stateFaults.refusedHosts.clear()
        fleet.runFor(fleet.cancelMs * 5 / 4)
        // The rules were looked at after every step; and what nobody cancelled lives on where that is possible.
        if (variant == Variant.REFUSED || variant == Variant.OUTAGE_SECONDS_LATER) {
            for (jobId in kept) assertEquals(2, tasks(jobId).size, "$jobId was not cancelled and lives on")
            assertTrue(machines.all { worker(it).incarnation == before[it] }, "the workers' leases lived on")
        }
        fleet.state.down = false
        cuts.forEach { heal(it) }
        fleet.net.heldAnswersMs.clear()
        assertTrue(variant == Variant.OUTAGE_FIRST || confirmed.isNotEmpty())
        assertTrue(fleet.now - refusedAt > fleet.cancelMs)
        fleet.runFor(fleet.lease * 3)
        checkRecovery(doomed + kept)
        assertTrue(doomed.all { fleet.rules.isCancelled(it) }, "all were cancelled in the end")
        assertEquals(0, fleet.rules.runsSentAfterCancel, "no start is sent after a confirmation")
    }

    /** The node acknowledges the tasks of a cancelled job and is restarted a moment later. */
    private fun Scenario.restartAfterConfirming(node: Int) {
        val host = fleet.net.hosts.getValue("n$node")
        val plain = host.handler!!
        host.handler = { addr, request ->
            plain(addr, request).also {
                if (request.path == PeerPaths.CANCELLED_TASKS) {
                    host.handler = plain
                    fleet.scope.launch {
                        delay(8)
                        fleet.crash(node)
                        delay(100)
                        fleet.startNode(node)
                    }
                }
            }
        }
    }
}
