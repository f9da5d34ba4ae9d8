package micatally.sim

/** What may happen between the end of a job's tasks and a late message about them. The job belongs to node 0. */
internal enum class Interlude(
    val run: Scenario.() -> Unit,
) {
    MOMENT({ fleet.runFor(200) }),
    LEADER_RESTARTED({ restart(0) }),
    ALL_RESTARTED({ restart(0, 1, 2) }),

    /** The controllers are back at once, and none leads its shard yet. */
    JUST_RESTARTING({ for (node in 0..2) fleet.crash(node).also { fleet.startNode(node) } }),
    TAKEOVER({
        fleet.crash(0)
        runUntil(fleet.lease * 2, "another node takes over the shard") { otherNodes.any { isLeaderOf(it, 0) } }
    }),
    LONG({ fleet.runFor(fleet.lease * 8) }),
    LONG_AFTER_RESTART({
        restart(0, 1, 2)
        fleet.runFor(fleet.lease * 8)
    }),
}

/** Ends these nodes, starts them again at once, and waits until node 0 leads its shard. */
internal fun Scenario.restart(vararg nodes: Int) {
    for (node in nodes) fleet.crash(node)
    fleet.runFor(400)
    for (node in nodes) fleet.startNode(node)
    runUntil(fleet.lease, "node 0 leads its shard") { isLeaderOf(0, 0) }
}
