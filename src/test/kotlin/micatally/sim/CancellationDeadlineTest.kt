package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.peer.PeerPaths
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/**
 * A confirmed cancellation stops its tasks in time although a shard leader does not learn of it. The state store first
 * refuses only that leader, and another controller confirms cancellations. Then the state store is down for all
 * controllers, for longer than a cancelled task may run on, while workers send their heartbeats to the old leader.
 */
class CancellationDeadlineTest {
    /** What happens in addition to, or in a different order from, the course that the class describes. */
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
        /** Every variant with the timings at full size; every second one with each of the others. */
        @JvmStatic
        fun variants() =
            Timing.DEPLOYMENTS.keys.flatMap { deployment ->
                Variant.entries
                    .filterIndexed { i, _ ->
                        "size" in deployment ||
                            i % 2 == deployment.length % 2
                    }.map { arrayOf<Any>(deployment, it) }
            }

        /** The number of seeds with which each variant is run; `-Dgap.seeds=20` runs 20. */
        val seeds = (System.getProperty("gap.seeds") ?: "1").toInt()
    }

    /**
     * Guards three rules: [micatally.settings.Settings.leadershipMs] is short enough; the list of a cancelled job's
     * tasks is written in the same transaction as the job's record; and [micatally.worker.CancelledTasks] is checked in
     * heartbeat responses and in commands.
     */
    @ParameterizedTest
    @MethodSource("variants")
    fun `cancelled tasks stop in time although the old leader still answers heartbeats`(
        deployment: String,
        variant: Variant,
    ) {
        val timing = Timing.DEPLOYMENTS.getValue(deployment)
        for (seed in 1..seeds) scenario(seed * 100 + variant.ordinal, timing) { cancelAcrossOutage(variant) }
    }

    private fun Scenario.cancelAcrossOutage(variant: Variant) {
        // Each controller gets jobs; all tasks run in the zone whose workers send their heartbeats to node 0.
        val zone = zoneOf(0)
        val toCancel =
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
        val uncancelled = (0 until fleet.nodes).map { submit(it, "daemon", 2, "circuit" to zone) }
        allRun(toCancel + uncancelled)
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
            // The responses of the machines come too late, so the leader repeats its start commands.
            for (machine in machines) fleet.net.responseDelayMs[machine] = fleet.lease
            val repeated = submit(0, "daemon", 1, "circuit" to zone)
            runUntil(fleet.lease * 3, "the repeated task runs") { tasks(repeated).isNotEmpty() }
            toCancel += repeated
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
            runUntil(fleet.lease * 2, "another node takes over the shard") { otherNodes.any { isLeaderOf(it, 0) } }
        }
        if (variant == Variant.PEER_RESTARTS_AFTER_CONFIRMING) restartAfterConfirming(fleet.nodes - 1)
        val refusedAt = fleet.now
        fleet.runFor(fleet.lease / 20)
        val incarnationsBefore = machines.associateWith { worker(it).incarnation }
        if (variant == Variant.OUTAGE_FIRST) {
            // The outage begins while the first cancellations are being confirmed.
            for (jobId in toCancel) cancel(jobId, otherNodes)
            fleet.runFor(60)
        } else {
            for (jobId in toCancel) cancel(jobId, otherNodes)
            runUntil(fleet.lease * 3, "a cancellation is confirmed while the leader is refused") {
                toCancel.any { fleet.rules.isCancelled(it) }
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
        val confirmed = toCancel.filter { fleet.rules.isCancelled(it) }
        fleet.state.down = true
        fleet.runFor(fleet.lease / 3)
        fleet.stateFaults.refusedHosts.clear()
        fleet.runFor(fleet.cancelMs * 5 / 4)
        // The rule checker runs after every step. Here, tasks that nobody cancelled must still run where that is
        // possible.
        if (variant == Variant.REFUSED || variant == Variant.OUTAGE_SECONDS_LATER) {
            for (jobId in uncancelled) assertEquals(2, tasks(jobId).size, "$jobId was not cancelled and still runs")
            assertTrue(machines.all { worker(it).incarnation == incarnationsBefore[it] }, "no worker's lease expired")
        }
        fleet.state.down = false
        cuts.forEach { heal(it) }
        fleet.net.responseDelayMs.clear()
        assertTrue(variant == Variant.OUTAGE_FIRST || confirmed.isNotEmpty())
        assertTrue(fleet.now - refusedAt > fleet.cancelMs)
        fleet.runFor(fleet.lease * 3)
        checkRecovery(toCancel + uncancelled)
        assertTrue(toCancel.all { fleet.rules.isCancelled(it) }, "all cancellations were confirmed")
        assertEquals(0, fleet.rules.runsSentAfterCancel, "no start command is sent after a confirmed cancellation")
    }

    /** Restarts the node 8 ms after it has acknowledged the list of cancelled tasks for the first time. */
    private fun Scenario.restartAfterConfirming(node: Int) {
        val host = fleet.net.hosts.getValue("n$node")
        val originalHandler = host.handler!!
        host.handler = { addr, request ->
            originalHandler(addr, request).also {
                if (request.path == PeerPaths.CANCELLED_TASKS) {
                    host.handler = originalHandler
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
