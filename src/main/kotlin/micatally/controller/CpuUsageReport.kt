package micatally.controller

import micatally.quota.Quota
import micatally.scheduling.Scheduler
import micatally.worker.MachineRegistry

/**
 * Logs the CPU usage and the load of a controller at regular intervals.
 *
 * @param intervalMs the least time between two lines, in milliseconds
 * @param startedAtMs when this controller started, on its own clock; the first line covers the time since then
 */
class CpuUsageReport(
    private val cpuUsage: CpuUsage,
    private val machines: MachineRegistry,
    private val scheduler: Scheduler,
    private val quota: Quota,
    private val budgets: RequestBudgets,
    private val intervalMs: Long,
    startedAtMs: Long,
) {
    private var lastLoggedAtMs = startedAtMs

    /** Logs a line if one is due at [nowMs]. */
    fun run(nowMs: Long) {
        if (nowMs - lastLoggedAtMs <= intervalMs) return
        lastLoggedAtMs = nowMs
        cpuUsage.logUsage(details())
    }

    private fun details() =
        " machines=${machines.byName.size} waiting=${scheduler.pendingRequests.size} ${cpuUsage.takeDeltaBytes()} " +
            "allotmentOveruse=${quota.audit.overuseCount} " +
            "writes=${budgets.stateWrites.describeWaits()} requests=${budgets.stateRequests.describeWaits()}"
}
