package micatally.controller

/**
 * Logs the CPU usage of a controller at regular intervals.
 *
 * @param intervalMs more than this time lies between two lines
 * @param startedAtMs when this controller started, on its own clock; the first line covers the time from there
 * @param details what follows the usage in the line
 */
class CpuUsageReport(
    private val cpuUsage: CpuUsage,
    private val intervalMs: Long,
    startedAtMs: Long,
    private val details: () -> String,
) {
    private var loggedAtMs = startedAtMs

    /** Logs a line if it is due. */
    fun run(nowMs: Long) {
        if (nowMs - loggedAtMs <= intervalMs) return
        loggedAtMs = nowMs
        cpuUsage.logUsage(details())
    }
}
