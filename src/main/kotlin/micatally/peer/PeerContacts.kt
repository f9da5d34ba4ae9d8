package micatally.peer

/** Which peers are in contact with this controller, and which of them reach the state store. */
class PeerContacts internal constructor(
    private val connections: List<PeerConnection>,
    private val timings: PeerTimings,
    private val nowMs: () -> Long,
) {
    /** Whether some peer has reported at [sinceMs] or later that it reaches the state store. */
    fun hasStateStoreContactSince(sinceMs: Long): Boolean = connections.any { it.stateStoreContactAt >= sinceMs }

    /** Whether some peer has reported just now that it reaches the state store. */
    fun hasStateStoreContact(): Boolean =
        connections.any {
            nowMs() - it.stateStoreContactAt <
                timings.stateStoreContactMs
        }

    /** Whether some peer has been heard lately, whatever it reaches itself. True if there are no peers. */
    fun isAnyPeerHeard(): Boolean =
        connections.isEmpty() || connections.any { nowMs() - it.lastReceivedAt < timings.peerSilenceMs }

    /** False if the last delta to the peer on [host] failed, or if there is no such peer. */
    fun isReachable(host: String): Boolean = connections.any { it.peer.host == host && it.failuresInRow == 0 }

    /**
     * Zones of peers that have not reported contact with the state store lately. What these peers hear from workers may
     * not be known here.
     */
    fun silentZones(): Set<String> =
        connections
            .filter { nowMs() - it.stateStoreContactAt >= timings.peerSilenceMs }
            .mapTo(HashSet()) { it.peer.zone }

    /** The peer to which a worker is redirected that this controller must refuse; null if none is in contact. */
    fun redirectTarget(): String? =
        connections
            .filter { nowMs() - it.stateStoreContactAt < timings.stateStoreContactMs }
            .minByOrNull { it.peer.host }
            ?.peer
            ?.host
}
