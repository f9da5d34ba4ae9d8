package micatally.controller

import micatally.fleet.FleetEnvironment
import micatally.peer.Peers
import micatally.scheduling.Scheduler

/** The work that the fleet has to have capacity for: that of this controller and, as its peers report it, of all others. */
class ControllerWorkload(
    private val scheduler: Scheduler,
    private val peers: Peers,
) : FleetEnvironment {
    override fun unplaced() = scheduler.pendingRequests.values.toList() + peers.peerDemand()

    override fun recentServices() = peers.recentServices()

    override fun unreachableZones() = peers.contacts.silentZones()

    override fun machineTypesKnown() = scheduler.requestCycle()
}
