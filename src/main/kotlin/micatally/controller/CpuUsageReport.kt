package micatally.controller

import micatally.peer.Peers
import micatally.scheduling.ClusterView
import micatally.scheduling.Scheduler

/**
 * Logs the CPU usage and the load of a controller at regular intervals.
 *
 * @param intervalMs the least time between two lines, in milliseconds
 * @param startedAtMs when this controller started, on its own clock; the first line covers the time since then
 */
class CpuUsageReport(
    private val cpuUsage: CpuUsage,
    private val clusterView: ClusterView,
    private val scheduler: Scheduler,
    private val peers: Peers,
    private val ruleCounters: RuleCounters,
    private val budgets: RequestBudgets,
    private val intervalMs: Long,
    startedAtMs: Long,
) {
    private var lastLoggedAtMs = startedAtMs

    /** Logs a line if one is due at [nowMs]. */
    fun run(nowMs: Long) {
        if (nowMs - lastLoggedAtMs <= intervalMs) return
        lastLoggedAtMs = nowMs
        cpuUsage.logUsage(details(nowMs))
    }

    private fun details(nowMs: Long) =
        " machines=${clusterView.machines.byName.size} unusable=${describeUnusable(nowMs)} " +
            "waiting=${scheduler.pendingRequests.size} ${cpuUsage.takeDeltaBytes()} " +
            "missedStatuses=${peers.missedStatusCount} " +
            "${ruleCounters.describe()} " +
            "writes=${budgets.stateWrites.describeWaits()} requests=${budgets.stateRequests.describeWaits()}"

    /** The number of machines on which no task may be placed, by reason, such as `DRAINING:2,SILENT:1`. */
    private fun describeUnusable(nowMs: Long) =
        clusterView.countUnusable(nowMs).entries.joinToString(",") { (reason, count) -> "$reason:$count" }
}
