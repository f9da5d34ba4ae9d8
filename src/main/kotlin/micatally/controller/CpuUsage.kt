package micatally.controller

import org.slf4j.LoggerFactory

/**
 * Measures the time that a controller spends on each kind of work, for operators; nothing is decided by it. The time
 * is that between the beginning and the end of the work, which is CPU time as long as the work does not suspend.
 *
 * @param nowNs a monotonic clock in nanoseconds
 */
class CpuUsage(
    private val nowNs: () -> Long,
) {
    /**
     * A kind of work.
     *
     * @property label its name in the log line
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

    /** The work of one kind since the last line. */
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

    /** Does [work] and returns its result; the time it takes counts as [kind], also if it throws. */
    inline fun <T> of(
        kind: Kind,
        work: () -> T,
    ): T {
        val beganNs = now()
        try {
            return work()
        } finally {
            add(kind, now() - beganNs)
        }
    }

    /** Counts the bytes of a peer's delta and of the answer to it. */
    fun addDelta(
        bytesReceived: Int,
        bytesAnswered: Int,
    ) {
        deltaBytesReceived += bytesReceived
        deltaBytesAnswered += bytesAnswered
    }

    /** Returns the fields for the bytes of deltas since the last call, and begins anew. */
    fun takeDeltaBytes(): String {
        val fields = "deltaBytesReceived=$deltaBytesReceived deltaBytesAnswered=$deltaBytesAnswered"
        deltaBytesReceived = 0
        deltaBytesAnswered = 0
        return fields
    }

    /**
     * Logs one line for the time since the last one, and begins anew. Each kind of work is shown as its count, its
     * time in all and the longest time of one; [details] follows.
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
