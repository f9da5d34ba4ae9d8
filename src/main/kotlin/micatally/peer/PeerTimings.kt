package micatally.peer

import micatally.settings.Settings

/**
 * Intervals, timeouts and age limits of the exchange between controllers, in milliseconds, derived from the settings.
 */
internal class PeerTimings(
    settings: Settings,
) {
    private val leaseMs = settings.leaseMs

    /** The interval at which the controller checks which deltas are due. */
    val exchangeIntervalMs = settings.heartbeatIntervalMs / EXCHANGES_PER_HEARTBEAT

    /** The interval at which each peer is sent heartbeat acknowledgements. */
    val acknowledgementIntervalMs = maxOf(settings.heartbeatIntervalMs / 2, leaseMs / 10)

    val deltaTimeoutMs = leaseMs / 10
    val cancellationTimeoutMs = leaseMs / 20

    /** The interval at which summaries are written to the state store. */
    val publishIntervalMs = leaseMs / 2

    /** A controller whose last contact with the state store is more recent than this counts as in contact with it. */
    val stateStoreContactMs = leaseMs / 5

    /** A peer from which nothing has arrived for this long counts as silent. */
    val peerSilenceMs = leaseMs * 3 / 10

    /** A heartbeat is acknowledged to peers until it is this old. */
    val acknowledgedHeartbeatMs = leaseMs / 2

    /** The backoff after this many failed deltas to a peer in a row. */
    fun retryDelayMs(failuresInRow: Int): Long =
        minOf(failuresInRow, MAX_BACKOFF_STEPS) * leaseMs / BACKOFF_STEPS_PER_LEASE

    companion object {
        /** How many times per heartbeat interval the controller checks which deltas are due. */
        const val EXCHANGES_PER_HEARTBEAT = 8
        private const val MAX_BACKOFF_STEPS = 8
        private const val BACKOFF_STEPS_PER_LEASE = 40
    }
}
