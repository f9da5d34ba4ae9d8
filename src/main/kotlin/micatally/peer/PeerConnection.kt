package micatally.peer

import micatally.settings.Peer

/** Stands for "not yet" in timestamps: far in the past, with room for subtraction. */
internal const val NEVER_MS = Long.MIN_VALUE / 2

/**
 * State of the exchange with one [peer]: what it still has to receive, when it was last heard, when to try again.
 *
 * All times are milliseconds of the controller's clock.
 */
internal class PeerConnection(
    val peer: Peer,
) {
    private val unsentMachines = LinkedHashSet<String>()

    /** Version of the local capacity summary that the peer is known to have; 0 for none. */
    var acknowledgedSummaryVersion = 0L

    /** When the last delta left that carried heartbeat acknowledgements and was answered. */
    var acknowledgementsSentAt = 0L

    /** Whether a delta to this peer is in flight. At most one is at any time. */
    var isExchanging = false

    /** Exchanges that have failed since the last successful one. */
    var failuresInRow = 0
        private set

    /** No delta is sent before this time. */
    var retryAt = 0L
        private set

    /** When the peer last reported that it is in contact with the state store. */
    var stateStoreContactAt = NEVER_MS
        private set

    /** When the last delta of the peer arrived. */
    var lastReceivedAt = NEVER_MS
        private set

    /** When the delta left whose response listed everything that the peer has cancelled. */
    var cancellationsConfirmedAt = NEVER_MS
        private set

    /** Fencing token in that response; 0 if the peer did not know all cancelled tasks of its shards. */
    var confirmedFencingToken = 0L
        private set

    val hasUnsentMachines get() = unsentMachines.isNotEmpty()

    fun addUnsentMachine(name: String) {
        unsentMachines.add(name)
    }

    /** Removes up to [limit] machines, oldest change first, and returns them. */
    fun takeUnsentMachines(limit: Int): List<String> {
        val machines = unsentMachines.take(limit)
        unsentMachines.removeAll(machines.toSet())
        return machines
    }

    /** The peer has accepted a delta; what its response says is recorded with [exchangeSucceeded]. */
    fun resetFailures() {
        failuresInRow = 0
    }

    /** Records the response to the delta that left at [sentAtMs]. */
    fun exchangeSucceeded(
        sentAtMs: Long,
        fencingToken: Long,
    ) {
        confirmedFencingToken = fencingToken
        cancellationsConfirmedAt = sentAtMs
    }

    /** A delta that carried [machines] got no usable response: they are due again once [retryDelayMs] has passed. */
    fun exchangeFailed(
        machines: List<String>,
        nowMs: Long,
        retryDelayMs: (failuresInRow: Int) -> Long,
    ) {
        failuresInRow++
        unsentMachines.addAll(machines)
        retryAt = nowMs + retryDelayMs(failuresInRow)
    }

    /** A delta of the peer has arrived. A peer that sends is reachable again, so there is no reason to wait with a retry. */
    fun received(
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
