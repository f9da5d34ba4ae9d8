package micatally.controller

import micatally.fleet.FleetManager
import micatally.peer.Peers
import micatally.settings.Settings
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/**
 * Finds machines that hold attempts of this controller but send heartbeats to nobody, and asks for their deletion. A
 * task may run again elsewhere only when its former attempt is proven to have ended, and the deletion of its machine
 * proves it.
 */
class UnreachableMachineSearch(
    private val machines: MachineRegistry,
    private val fleetManager: FleetManager,
    private val peers: Peers,
    settings: Settings,
) {
    private val leaseMs = settings.leaseMs

    /**
     * Two leases of its worker, and the time for which a controller that is cut off from the state store may still
     * answer its heartbeats.
     */
    private val silenceMs = leaseMs + settings.leadershipMs + leaseMs

    /** Asks the fleet manager, here or on a peer, to delete each machine that has been silent for too long. */
    fun run(nowMs: Long) {
        for (machine in machines.byName.values) {
            if (machine.deleted || machine.attempts.isEmpty()) continue
            if (isUnreachable(machine, nowMs)) {
                fleetManager.requestDeletion(listOf(machine.name))
                peers.requestDeletion(machine.name)
            }
        }
    }

    private fun isUnreachable(
        machine: Machine,
        nowMs: Long,
    ): Boolean {
        val silentMs = nowMs - machine.heardAt
        val hasNeverSent = machine.heardAt == 0L
        return silentMs > silenceMs || hasNeverSent && silentMs > leaseMs * NEVER_HEARD_LEASES
    }

    private companion object {
        /** A machine of which there has never been a heartbeat is given up after so many leases. */
        const val NEVER_HEARD_LEASES = 2
    }
}
