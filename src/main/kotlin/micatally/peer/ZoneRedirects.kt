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
     * The best controller for the workers of [zone], among those of the zone that are in contact; null if there is
     * none.
     *
     * A worker whose controller fails tries the next hosts in the order of their names. In a network partition each
     * host of another zone costs the worker half its lease. So the best controller is the one that is followed soonest
     * by another host of the same zone.
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

    /** For each host, the number of steps to the next host of its zone in the circular order of host names. */
    private fun stepsToNextInZone(): Map<String, Int> {
        val zonesByHost = settings.peers.map { it.host to it.zone } + (settings.host to settings.zone)
        val hosts = zonesByHost.sortedBy { (host, _) -> host }
        return hosts.withIndex().associate { (index, entry) ->
            val (host, zone) = entry
            host to (1..hosts.size).first { step -> hosts[(index + step) % hosts.size].second == zone }
        }
    }
}
