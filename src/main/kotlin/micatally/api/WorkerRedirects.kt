package micatally.api

import micatally.settings.Settings
import micatally.wire.Heartbeat
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/**
 * Redirects workers to a controller of their own zone, so that a network partition between zones does not end their
 * leases.
 *
 * Workers may be unable to reach that controller although it is in contact with the other controllers and the state
 * store. A worker that came from it has left because it got no response, and would lose its lease and all its tasks if
 * it were sent back. So a worker is not redirected to a controller that it came from lately. While the target
 * controller hears no worker of the zone, only one worker per lease is redirected to it, as a trial.
 *
 * @param bestControllerOf returns the host of the controller to which the workers of a zone should report, or null if
 * none is known
 */
class WorkerRedirects(
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val nowMs: () -> Long,
    private val bestControllerOf: (zone: String) -> String?,
) {
    /** When each worker was last redirected, by machine name. */
    private val redirectedAtMs = HashMap<String, Long>()

    /** When a worker was last redirected as a trial to each controller, by host. */
    private val trialAtMs = HashMap<String, Long>()

    /**
     * Returns the host of the controller that the worker is to report to instead of this one, or null if it stays here.
     */
    fun targetFor(
        machine: Machine,
        heartbeat: Heartbeat,
    ): String? {
        val now = nowMs()
        // The pause keeps two controllers with different views of the others from sending the worker back and forth.
        if (now - (redirectedAtMs[machine.name] ?: LONG_AGO) <= settings.leaseMs * LEASES_BETWEEN_REDIRECTS) return null
        val target = bestControllerOf(machine.zone)
        if (target == null || target == settings.host) return null
        if (cameFrom(target, machine, now)) return null
        if (!isZoneHeardBy(target, machine.zone, now) && !mayRedirectAsTrial(target, heartbeat, now)) return null
        redirectedAtMs[machine.name] = now
        return target
    }

    /** Whether the controller on [host] accepted a heartbeat of the machine lately. */
    private fun cameFrom(
        host: String,
        machine: Machine,
        now: Long,
    ): Boolean {
        val heardAt = machine.heardByAt(host) ?: return false
        return now - heardAt < settings.leaseMs * CAME_FROM_LEASES
    }

    /** Whether the controller on [host] accepted a heartbeat of any worker of [zone] in the last half of a lease. */
    private fun isZoneHeardBy(
        host: String,
        zone: String,
        now: Long,
    ) = machines.byName.values.any { machine ->
        val isInZone = machine.zone == zone && !machine.deleted
        isInZone && machine.heardByAt(host)?.let { now - it < settings.leaseMs / 2 } ?: false
    }

    /**
     * Whether the worker may be redirected as a trial. At most one worker per lease is redirected to each controller,
     * and a worker with tasks only if it would be back within its lease if it got no response there.
     */
    private fun mayRedirectAsTrial(
        host: String,
        heartbeat: Heartbeat,
        now: Long,
    ): Boolean {
        val maxAbsenceMs =
            settings.heartbeatIntervalMs * MAX_INTERVAL_RATIO + RESPONSE_TIMEOUT_MS + NEXT_CONTROLLER_DELAY_MS
        val isBackInTime = maxAbsenceMs < settings.leaseMs * SAFE_LEASE_SHARE
        if (heartbeat.tasks.isNotEmpty() && !isBackInTime) return false
        if (now - (trialAtMs[host] ?: LONG_AGO) < settings.leaseMs) return false
        trialAtMs[host] = now
        return true
    }

    private companion object {
        const val LONG_AGO = Long.MIN_VALUE / 2

        /** The least time between two redirects of a worker, in multiples of its lease. */
        const val LEASES_BETWEEN_REDIRECTS = 3

        /** For how many leases after its last heartbeat to a controller a worker counts as coming from there. */
        const val CAME_FROM_LEASES = 3

        /** The protocol allows the time between two heartbeats to be a quarter longer than the heartbeat interval. */
        const val MAX_INTERVAL_RATIO = 1.25

        /** How long a worker waits for the response to a heartbeat, as the protocol specifies. */
        const val RESPONSE_TIMEOUT_MS = 4000L

        /** How long a worker then waits until it tries the next controller, as the protocol specifies. */
        const val NEXT_CONTROLLER_DELAY_MS = 1500L

        /** The part of its lease within which a worker has to be back from a trial. */
        const val SAFE_LEASE_SHARE = 0.9
    }
}
