package micatally.peer

import micatally.settings.Settings

/** Intervals, timeouts and ages of the exchange between controllers, all in milliseconds and derived from the settings. */
internal class PeerTimings(
    settings: Settings,
) {
    private val leaseMs = settings.leaseMs

    /** How often to look for deltas that are due. */
    val exchangeIntervalMs = settings.heartbeatIntervalMs / EXCHANGES_PER_HEARTBEAT

    /** How often a peer gets heartbeat acknowledgements. */
    val acknowledgementIntervalMs = maxOf(settings.heartbeatIntervalMs / 2, leaseMs / 10)

    val deltaTimeoutMs = leaseMs / 10
    val cancellationTimeoutMs = leaseMs / 20

    /** How often summaries are written to the state store. */
    val publishIntervalMs = leaseMs / 2

    /** A contact with the state store that is younger than this counts as present. */
    val stateStoreContactMs = leaseMs / 5

    /** A peer that has been silent for this long counts as not heard. */
    val peerSilenceMs = leaseMs * 3 / 10

    /** A worker's heartbeat is acknowledged to peers while it is younger than this. */
    val acknowledgedHeartbeatMs = leaseMs / 2

    /** How long to leave a peer alone after so many failures in a row. */
    fun retryDelayMs(failuresInRow: Int): Long =
        minOf(failuresInRow, MAX_BACKOFF_STEPS) * leaseMs / BACKOFF_STEPS_PER_LEASE

    companion object {
        const val EXCHANGES_PER_HEARTBEAT = 8
        private const val MAX_BACKOFF_STEPS = 8
        private const val BACKOFF_STEPS_PER_LEASE = 40
    }
}
