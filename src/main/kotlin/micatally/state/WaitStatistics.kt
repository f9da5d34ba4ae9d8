package micatally.state

/** Counts the calls of each urgency that took tokens from a [RateBudget], and how long they waited for them. */
internal class WaitStatistics {
    private class Waits {
        var count = 0
        var totalMs = 0L
        var longestMs = 0L
    }

    private val waits = Urgency.entries.associateWithTo(LinkedHashMap()) { Waits() }

    /** Counts one call that waited [waitedMs] ms. */
    fun add(
        urgency: Urgency,
        waitedMs: Long,
    ) {
        val entry = waits.getValue(urgency)
        entry.count++
        entry.totalMs += waitedMs
        entry.longestMs = maxOf(entry.longestMs, waitedMs)
    }

    /**
     * Returns `name:COUNTx/AVERAGEms/LONGESTms` for each urgency that has been counted, joined by commas. Resets all
     * counts and times to zero.
     */
    fun describeAndReset(): String {
        val description =
            waits
                .filterValues { it.count > 0 }
                .map { (urgency, entry) ->
                    "${urgency.name.lowercase()}:${entry.count}x/${entry.totalMs / entry.count}ms/${entry.longestMs}ms"
                }.joinToString(",")
        for (urgency in Urgency.entries) waits[urgency] = Waits()
        return description
    }
}
