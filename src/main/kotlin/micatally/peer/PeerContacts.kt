package micatally.peer

/** Tells which peers are in contact with this controller, and which of them reach the state store. */
class PeerContacts internal constructor(
    private val connections: List<PeerConnection>,
    private val timings: PeerTimings,
    private val nowMs: () -> Long,
) {
    /** Whether some peer has reported at [sinceMs] or later that it reaches the state store. */
    fun hasStateStoreContactSince(sinceMs: Long): Boolean = connections.any { it.stateStoreContactAt >= sinceMs }

    /** Whether some peer has recently reported that it reaches the state store. */
    fun hasStateStoreContact(): Boolean =
        connections.any {
            nowMs() - it.stateStoreContactAt <
                timings.stateStoreContactMs
        }

    /**
     * Whether a delta from some peer has recently arrived, whether or not it reaches the state store. True if there are
     * no peers.
     */
    fun isAnyPeerHeard(): Boolean =
        connections.isEmpty() || connections.any { nowMs() - it.lastReceivedAt < timings.peerSilenceMs }

    /** Whether the peer on [host] is reachable: false if the last delta to it failed or there is no such peer. */
    fun isReachable(host: String): Boolean = connections.any { it.peer.host == host && it.failuresInRow == 0 }

    /**
     * Whether each of the peers on [hosts] knows what was in the state store at [sinceMs], and has told this controller
     * after that which capacity it holds. A delta that arrives in time shows what its sender knew
     * [PeerTimings.stateStoreContactMs] before it was sent.
     */
    fun isCapacityKnownSince(
        sinceMs: Long,
        hosts: Set<String>,
    ): Boolean {
        val knownAtMs = sinceMs + timings.stateStoreContactMs + timings.deltaTimeoutMs
        return connections.all { it.peer.host !in hosts || it.capacityKnownAt >= knownAtMs }
    }

    /**
     * The zones of peers that have not recently reported contact with the state store. Such a peer may receive
     * heartbeats of which this controller does not know.
     */
    fun silentZones(): Set<String> =
        connections
            .filter { nowMs() - it.stateStoreContactAt >= timings.peerSilenceMs }
            .mapTo(HashSet()) { it.peer.zone }

    /**
     * The peer to which this controller redirects workers whose heartbeats it may not accept; null if none is in
     * contact.
     */
    fun redirectTarget(): String? =
        connections
            .filter { nowMs() - it.stateStoreContactAt < timings.stateStoreContactMs }
            .minByOrNull { it.peer.host }
            ?.peer
            ?.host
}
