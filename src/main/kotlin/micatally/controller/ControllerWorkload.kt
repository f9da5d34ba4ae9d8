package micatally.controller

import micatally.fleet.PendingWorkload
import micatally.peer.Peers
import micatally.scheduling.Scheduler

/** The work that the fleet has to have capacity for: that of this controller and, as its peers report it, of all others. */
class ControllerWorkload(
    private val scheduler: Scheduler,
    private val peers: Peers,
) : PendingWorkload {
    override fun unplaced() = scheduler.unplaced.values.toList() + peers.demandOfPeers()

    override fun recentServices() = peers.recentServices()

    override fun silentZones() = peers.silentZones()
}
