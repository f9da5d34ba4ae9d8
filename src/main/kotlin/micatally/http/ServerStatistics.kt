package micatally.http

/** Counts what has become of the connections and requests of one [Server], for the log. */
class ServerStatistics {
    /** Connections that are open now. */
    var open = 0

    /** Connections that were closed at once because too many were open. */
    var refused = 0

    private val failures = HashMap<String, Int>()
    private val refusedRequests = HashMap<Int, Int>()

    /** Counts a connection or a request that has failed unexpectedly, by the kind of the failure. */
    fun failed(failure: Throwable) {
        failures.merge(failure.javaClass.simpleName, 1, Int::plus)
    }

    /** Counts a request that was refused with [status]. */
    fun requestRefused(status: Int) {
        refusedRequests.merge(status, 1, Int::plus)
    }

    /** The counts since the start, such as `refused=0 failed={} requests={400=3}`. */
    fun describe() = "refused=$refused failed=$failures requests=$refusedRequests"
}
