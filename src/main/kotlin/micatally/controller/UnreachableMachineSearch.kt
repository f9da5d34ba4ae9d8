package micatally.controller

import micatally.fleet.FleetManager
import micatally.membership.Membership
import micatally.peer.Peers
import micatally.settings.Settings
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/**
 * Finds machines that have attempts of this controller but from which no controller receives heartbeats, and requests
 * their deletion. A task may run again elsewhere only when its former attempt is proven to have ended, and the deletion
 * of the machine proves it.
 */
class UnreachableMachineSearch(
    private val machines: MachineRegistry,
    private val fleetManager: FleetManager,
    private val peers: Peers,
    private val membership: Membership,
    settings: Settings,
) {
    private val log = LoggerFactory.getLogger("micatally.controller")
    private val host = settings.host
    private val leaseMs = settings.leaseMs

    /**
     * How long a machine may be silent: two leases of its worker, plus the time for which a controller that is cut off
     * from the state store may still answer its heartbeats.
     */
    private val maxSilenceMs = leaseMs + settings.leadershipMs + leaseMs

    /** Asks the fleet manager, here or on a peer, to delete each machine that has been silent for too long. */
    fun run(nowMs: Long) {
        for (machine in machines.byName.values) {
            if (machine.deleted || machine.attempts.isEmpty()) continue
            if (isUnreachable(machine, nowMs)) {
                log.info(
                    "machine {} with {} attempts silent for {} ms, last proof of state contact {} ms ago",
                    machine.name,
                    machine.attempts.size,
                    nowMs - machine.heardAt,
                    membership.viewAgeMs,
                )
                fleetManager.requestDeletion(listOf(machine.name), host)
                peers.requestDeletion(machine.name)
            }
        }
    }

    private fun isUnreachable(
        machine: Machine,
        nowMs: Long,
    ): Boolean {
        val silentMs = nowMs - machine.heardAt
        val hasNeverReported = machine.heardAt == 0L
        return silentMs > maxSilenceMs || hasNeverReported && silentMs > leaseMs * NEVER_REPORTED_LEASES
    }

    private companion object {
        /**
         * A machine that has never sent a heartbeat is given up after this many leases. [Machine.heardAt] is 0 then, so
         * the time counts from the origin of the controller's clock.
         */
        const val NEVER_REPORTED_LEASES = 2
    }
}
