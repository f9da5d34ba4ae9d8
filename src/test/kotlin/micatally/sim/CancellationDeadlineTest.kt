package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** The state service refuses the leading controller alone, another one confirms cancellations, then the state service is
 * down for all for longer than a cancellation has, while workers keep reporting to the old leader. */
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
            Timing.DEPLOYMENTS.keys.flatMap { d ->
                Variant.entries
                    .filterIndexed { i, _ ->
                        "size" in d ||
                            i % 2 == d.length % 2
                    }.map { arrayOf<Any>(d, it) }
            }

        /** More luck with -Dgap.seeds=20. */
        val seeds = (System.getProperty("gap.seeds") ?: "1").toInt()
    }

    /** Guards: [micatally.settings.Settings.leadershipMs] (right, lease and slack fit in a cancellation), the list of a cancelled job's
     * tasks written with its record, [micatally.worker.CancelledTasks] asked in report answers and by the order channel. */
    @ParameterizedTest
    @MethodSource("all")
    fun `tasks are gone in time though the old leader goes on answering`(
        deployment: String,
        variant: Variant,
    ) {
        val timing = Timing.DEPLOYMENTS.getValue(deployment)
        for (seed in 1..seeds) scenario(seed * 100 + variant.ordinal, timing) { gap(variant) }
    }

    private fun Scenario.gap(variant: Variant) {
        // Jobs of every controller; all tasks are where the workers report to the leader, node 0.
        val zone = zoneOf(0)
        val doomed =
            ArrayList(
                (0 until f.nodes).flatMap { n ->
                    listOf(
                        submit(n, "daemon", 2, "circuit" to zone),
                        submit(
                            n,
                            "sweep",
                            3,
                            "circuit" to zone,
                            runMs = f.cancelMs * 10,
                        ),
                    )
                },
            )
        val kept = (0 until f.nodes).map { submit(it, "daemon", 2, "circuit" to zone) }
        allRun(doomed + kept)
        f.runFor(f.lease / 2)
        val machines = f.rules.running.mapTo(HashSet()) { it.machine }
        val cuts = ArrayList<SimNet.Cut>()
        if (variant == Variant.ONLY_THE_LEADER_REACHES_THE_MACHINES ||
            variant == Variant.TAKEN_OVER_AND_CUT_FROM_PEERS
        ) {
            cuts.add(cut(CutMode.HOLD) { a, b -> a.name in machines && b.name.startsWith("n") && b.name != "n0" })
        }
        if (variant == Variant.A_RUN_IS_REPEATED) {
            // The answers of the machines come too late, so that the leader sends the same runs again and again.
            for (m in machines) f.net.heldAnswersMs[m] = f.lease
            val repeated = submit(0, "daemon", 1, "circuit" to zone)
            runUntil(f.lease * 3, "it runs") { tasks(repeated).isNotEmpty() }
            doomed += repeated
        }
        when (variant) {
            Variant.HELD -> cuts.add(cut(CutMode.HOLD) { a, b -> a.name == "n0" && b.name == "state" })
            Variant.RESET -> cuts.add(cut(CutMode.RESET) { a, b -> a.name == "n0" && b.name == "state" })
            else -> f.stateFaults.refusedHosts.add("n0")
        }
        if (variant == Variant.CUT_FROM_PEERS || variant == Variant.TAKEN_OVER_AND_CUT_FROM_PEERS) {
            cuts.add(cut(CutMode.HOLD) { a, b -> a.name == "n0" && b.name.startsWith("n") })
        }
        if (variant == Variant.TAKEN_OVER_FIRST || variant == Variant.TAKEN_OVER_AND_CUT_FROM_PEERS) {
            runUntil(f.lease * 2, "another node takes the ledger") { others.any { holdsOf(it, 0) } }
        }
        if (variant == Variant.PEER_RESTARTS_AFTER_CONFIRMING) restartAfterConfirming(f.nodes - 1)
        val refusedAt = f.now
        f.runFor(f.lease / 20)
        val before = machines.associateWith { worker(it).incarnation }
        if (variant == Variant.OUTAGE_FIRST) {
            // The first confirmations are under way when the outage begins.
            for (r in doomed) cancel(r, others)
            f.runFor(60)
        } else {
            for (r in doomed) cancel(r, others)
            runUntil(f.lease * 3, "a cancellation is confirmed while the leader is refused") {
                doomed.any { f.rules.isCancelled(it) }
            }
            f.runFor(
                when (variant) {
                    Variant.OUTAGE_SECONDS_LATER -> f.lease / 4
                    else -> 50
                },
            )
        }
        if (variant ==
            Variant.LEADER_RESTARTS
        ) {
            f.crash(0)
            f.runFor(200)
            f.stateFaults.refusedHosts.clear()
            f.startNode(0)
            f.runFor(f.lease / 20)
        }
        val confirmed = doomed.filter { f.rules.isCancelled(it) }
        f.state.down = true
        f.runFor(f.lease / 3)
        f.stateFaults.refusedHosts.clear()
        f.runFor(f.cancelMs * 5 / 4)
        // The rules were looked at after every step; and what nobody cancelled lives on where that is possible.
        if (variant == Variant.REFUSED || variant == Variant.OUTAGE_SECONDS_LATER) {
            for (r in kept) assertEquals(2, tasks(r).size, "$r was not cancelled and lives on")
            assertTrue(machines.all { worker(it).incarnation == before[it] }, "the workers' leases lived on")
        }
        f.state.down = false
        for (c in cuts) heal(c)
        f.net.heldAnswersMs.clear()
        assertTrue(variant == Variant.OUTAGE_FIRST || confirmed.isNotEmpty())
        assertTrue(f.now - refusedAt > f.cancelMs)
        f.runFor(f.lease * 3)
        afterwards(doomed + kept)
        assertTrue(doomed.all { f.rules.isCancelled(it) }, "all were cancelled in the end")
        assertEquals(0, f.rules.runsSentAfterCancel, "no start is sent after a confirmation")
    }

    /** The node confirms the tasks of a cancelled job and is another process a moment later. */
    private fun Scenario.restartAfterConfirming(node: Int) {
        val host = f.net.hosts.getValue("n$node")
        val plain = host.handler!!
        host.handler = { addr, r ->
            plain(addr, r).also {
                if (r.path ==
                    micatally.peer.PeerPaths.CANCELLED_TASKS
                ) {
                    host.handler = plain
                    f.scope.launch {
                        delay(8)
                        f.crash(node)
                        delay(100)
                        f.startNode(node)
                    }
                }
            }
        }
    }
}
