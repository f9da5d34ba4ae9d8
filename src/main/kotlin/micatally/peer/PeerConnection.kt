package micatally.peer

import micatally.settings.Peer

/** The timestamp of an event that has not happened: far in the past, yet differences to it do not overflow. */
internal const val NEVER_MS = Long.MIN_VALUE / 2

/**
 * The state of the exchange with one [peer]: which machines it still has to be told of, what it has confirmed, and when
 * to retry after a failure.
 *
 * All times are in milliseconds of the controller's clock.
 */
internal class PeerConnection(
    val peer: Peer,
) {
    private val unsentMachines = LinkedHashSet<String>()

    /** The version of the local capacity summary that the peer is known to have; 0 if none. */
    var acknowledgedSummaryVersion = 0L

    /** When the last accepted delta with heartbeat acknowledgements was sent. */
    var acknowledgementsSentAt = 0L

    /** Whether a delta to this peer is in flight. There is at most one at a time. */
    var isExchanging = false

    /** The number of failed deltas since one last succeeded or the peer last sent one. */
    var failuresInRow = 0
        private set

    /** Whether several deltas in a row have failed, so that the peer has to be told through the state store. */
    val isUnreached get() = failuresInRow > 1

    /** No delta is sent before this time. */
    var retryAt = 0L
        private set

    /** When a delta last arrived in which the peer reported contact with the state store. */
    var stateStoreContactAt = NEVER_MS
        private set

    /**
     * When a delta last arrived that completed what this controller knows of the capacity held by the peer, and in
     * which the peer reported contact with the state store.
     */
    var capacityKnownAt = NEVER_MS

    /** When a delta from the peer last arrived. */
    var lastReceivedAt = NEVER_MS
        private set

    /** When the last delta with a usable response was sent. The response lists the peer's cancelled tasks. */
    var cancellationsConfirmedAt = NEVER_MS
        private set

    /** The fencing token in that response; 0 if its list of cancelled tasks was not complete. */
    var confirmedFencingToken = 0L
        private set

    val hasUnsentMachines get() = unsentMachines.isNotEmpty()

    fun addUnsentMachine(name: String) {
        unsentMachines.add(name)
    }

    /** Removes up to [limit] machines, those that were added first, and returns them. */
    fun takeUnsentMachines(limit: Int): List<String> {
        val machines = unsentMachines.take(limit)
        unsentMachines.removeAll(machines.toSet())
        return machines
    }

    /** Records that the peer accepted a delta; [exchangeSucceeded] then records the contents of its response. */
    fun resetFailures() {
        failuresInRow = 0
    }

    /** Records the response to the delta that was sent at [sentAtMs]. */
    fun exchangeSucceeded(
        sentAtMs: Long,
        fencingToken: Long,
    ) {
        confirmedFencingToken = fencingToken
        cancellationsConfirmedAt = sentAtMs
    }

    /**
     * Records that a delta with these [machines] failed. They are sent again after the delay that [retryDelayMs]
     * returns.
     */
    fun exchangeFailed(
        machines: List<String>,
        nowMs: Long,
        retryDelayMs: (failuresInRow: Int) -> Long,
    ) {
        failuresInRow++
        unsentMachines.addAll(machines)
        retryAt = nowMs + retryDelayMs(failuresInRow)
    }

    /** Records a delta from the peer. It shows that the peer is reachable, so the backoff after failed deltas ends. */
    fun deltaReceived(
        nowMs: Long,
        hasStateStoreContact: Boolean,
    ) {
        lastReceivedAt = nowMs
        if (hasStateStoreContact) stateStoreContactAt = nowMs
        if (failuresInRow > 0) {
            failuresInRow = 0
            retryAt = 0
        }
    }
}
