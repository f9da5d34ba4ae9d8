package micatally.state

/** How many requests of each urgency took something from a [RateBudget], and how long they waited for it. */
internal class WaitStatistics {
    private class Waits {
        var count = 0
        var totalMs = 0L
        var longestMs = 0L
    }

    private val waits = Urgency.entries.associateWithTo(LinkedHashMap()) { Waits() }

    /** Counts one request that waited [waitedMs] milliseconds. */
    fun add(
        urgency: Urgency,
        waitedMs: Long,
    ) {
        val ofUrgency = waits.getValue(urgency)
        ofUrgency.count++
        ofUrgency.totalMs += waitedMs
        ofUrgency.longestMs = maxOf(ofUrgency.longestMs, waitedMs)
    }

    /** For each urgency `name:COUNTx/AVERAGEms/LONGESTms`, joined by commas; then everything starts from zero. */
    fun describeAndReset(): String {
        val description =
            waits
                .filterValues { it.count > 0 }
                .map { (urgency, of) ->
                    "${urgency.name.lowercase()}:${of.count}x/${of.totalMs / of.count}ms/${of.longestMs}ms"
                }.joinToString(",")
        for (urgency in Urgency.entries) waits[urgency] = Waits()
        return description
    }
}
