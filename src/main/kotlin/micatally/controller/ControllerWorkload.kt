package micatally.controller

import micatally.fleet.FleetEnvironment
import micatally.peer.Peers
import micatally.scheduling.Scheduler
import micatally.worker.UnreachableMachines

/**
 * What the fleet manager needs to know from the rest of the controller: the demand for capacity, both of this
 * controller and of all others as reported by its peers, the machines that it does not reach, and the zones of silent
 * peers.
 */
class ControllerWorkload(
    private val scheduler: Scheduler,
    private val peers: Peers,
    private val unreachableMachines: UnreachableMachines,
) : FleetEnvironment {
    override fun unplaced() = scheduler.pendingRequests.values.toList() + peers.peerDemand()

    override fun recentServices() = peers.recentServices()

    override fun unreachableZones() = peers.contacts.silentZones()

    override fun isCapacityKnownSince(
        sinceMs: Long,
        hosts: Set<String>,
    ) = peers.contacts.isCapacityKnownSince(sinceMs, hosts)

    override fun unreachableMachines() = unreachableMachines.names()

    override fun machineTypesKnown() = scheduler.requestCycle()
}
