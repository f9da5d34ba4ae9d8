package micatally.peer

import micatally.settings.Settings

/** Decides to which controller the workers of a zone should report. */
class ZoneRedirects internal constructor(
    private val settings: Settings,
    private val connections: List<PeerConnection>,
    private val timings: PeerTimings,
    private val nowMs: () -> Long,
) {
    private val stepsToNextInZone: Map<String, Int> = stepsToNextInZone()

    /**
     * The best of the controllers of [zone] that are in contact; null if there is none.
     *
     * A worker whose controller fails tries the next hosts in turn. In a partition each host of another zone costs it half
     * its lease. So the best controller is the one from which the next host of the same zone is the fewest steps away.
     */
    fun bestControllerFor(zone: String): String? {
        val peersInZone =
            connections
                .filter { it.peer.zone == zone && isInContact(it) }
                .map { it.peer.host }
        val candidates = peersInZone + listOfNotNull(settings.host.takeIf { settings.zone == zone })
        return candidates.minWithOrNull(compareBy({ stepsToNextInZone[it] ?: 0 }, { it }))
    }

    private fun isInContact(connection: PeerConnection) =
        connection.failuresInRow == 0 && nowMs() - connection.stateStoreContactAt < timings.stateStoreContactMs

    /** For each host, how many steps on in the order of hosts the next one of its zone comes. */
    private fun stepsToNextInZone(): Map<String, Int> {
        val zonesByHost = settings.peers.map { it.host to it.zone } + (settings.host to settings.zone)
        val ring = zonesByHost.sortedBy { (host, _) -> host }
        return ring.withIndex().associate { (index, entry) ->
            val (host, zone) = entry
            host to (1..ring.size).first { step -> ring[(index + step) % ring.size].second == zone }
        }
    }
}
