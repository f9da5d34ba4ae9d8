package micatally.controller

import org.slf4j.LoggerFactory

/**
 * Measures the time that a controller spends on each kind of work, and logs it for operators. No decision depends on
 * it. Elapsed time is measured, which is close to the CPU time as long as the work does not suspend.
 *
 * @param nowNs a monotonic clock in nanoseconds
 */
class CpuUsage(
    private val nowNs: () -> Long,
) {
    /**
     * A kind of work.
     *
     * @property label the name of the kind in the log line
     */
    enum class Kind(
        val label: String,
    ) {
        HEARTBEATS("heartbeats"),
        DELTAS("deltas"),
        SCHEDULING("scheduling"),
        SHARED_KEYS("shared keys"),
        PERIODIC_TASKS("periodic tasks"),
    }

    /** The work of one kind since the last log line. */
    private class Usage {
        var count = 0
        var totalNs = 0L
        var longestNs = 0L
    }

    private val log = LoggerFactory.getLogger("micatally.cpu")
    private val usages = Kind.entries.associateWith { Usage() }
    private var deltaBytesReceived = 0L
    private var deltaBytesAnswered = 0L

    @PublishedApi internal fun now() = nowNs()

    @PublishedApi
    internal fun add(
        kind: Kind,
        durationNs: Long,
    ) {
        val usage = usages.getValue(kind)
        usage.count++
        usage.totalNs += durationNs
        usage.longestNs = maxOf(usage.longestNs, durationNs)
    }

    /** Runs [work] and returns its result. The time that it takes is counted under [kind], also if it throws. */
    inline fun <T> measure(
        kind: Kind,
        work: () -> T,
    ): T {
        val startNs = now()
        try {
            return work()
        } finally {
            add(kind, now() - startNs)
        }
    }

    /** Counts the bytes of a delta that a peer sent and of the response to it. */
    fun addDelta(
        bytesReceived: Int,
        bytesAnswered: Int,
    ) {
        deltaBytesReceived += bytesReceived
        deltaBytesAnswered += bytesAnswered
    }

    /** Returns the log fields with the bytes of deltas since the last call, and resets the counts. */
    fun takeDeltaBytes(): String {
        val fields = "deltaBytesReceived=$deltaBytesReceived deltaBytesAnswered=$deltaBytesAnswered"
        deltaBytesReceived = 0
        deltaBytesAnswered = 0
        return fields
    }

    /**
     * Logs one line for the time since the last one, and resets the measurements. The line shows how often each kind of
     * work was done, its total time and its longest time, both in ms. [details] is appended.
     */
    fun logUsage(details: String) {
        log.info("cpu usage {}{}", usages.entries.joinToString(" ") { (kind, usage) -> field(kind, usage) }, details)
        for (usage in usages.values) reset(usage)
    }

    private fun field(
        kind: Kind,
        usage: Usage,
    ) = "${kind.label}=${usage.count}x/${usage.totalNs / NANOS_PER_MILLI}ms/${usage.longestNs / NANOS_PER_MILLI}ms"

    private fun reset(usage: Usage) {
        usage.count = 0
        usage.totalNs = 0
        usage.longestNs = 0
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000
    }
}
