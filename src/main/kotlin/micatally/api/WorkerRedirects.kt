package micatally.api

import micatally.settings.Settings
import micatally.wire.Heartbeat
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/**
 * Sends workers to the controller of their own zone, so that a cut between zones does not end their leases.
 *
 * That controller may be one that its workers can't reach while it talks to the other controllers and to the state store. A worker
 * that came from there has left it because it got no response: sent back, it would lose its lease and all its tasks. So no worker is
 * sent where it came from, and while a controller hears no worker of the zone only one at a time is sent to try.
 *
 * @param bestControllerOf the host of the controller to which workers of a zone report best; null if none is known
 */
class WorkerRedirects(
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val nowMs: () -> Long,
    private val bestControllerOf: (zone: String) -> String?,
) {
    private val redirectedAtMs = HashMap<String, Long>()
    private val triedAtMs = HashMap<String, Long>()

    /** The controller that the worker is to report to instead of this one; null: it stays here. */
    fun targetFor(
        machine: Machine,
        heartbeat: Heartbeat,
    ): String? {
        val now = nowMs()
        // Once in a while only, so that two controllers that see the others differently don't send it to and fro.
        if (now - (redirectedAtMs[machine.name] ?: LONG_AGO) <= settings.leaseMs * PAUSE_LEASES) return null
        val target = bestControllerOf(machine.zone)
        if (target == null || target == settings.host) return null
        if (cameFrom(target, machine, now)) return null
        if (!isZoneHeardBy(target, machine.zone, now) && !mayTry(target, heartbeat, now)) return null
        redirectedAtMs[machine.name] = now
        return target
    }

    private fun cameFrom(
        host: String,
        machine: Machine,
        now: Long,
    ): Boolean {
        val heardAt = machine.heardByAt(host) ?: return false
        return now - heardAt < settings.leaseMs * CAME_FROM_LEASES
    }

    private fun isZoneHeardBy(
        host: String,
        zone: String,
        now: Long,
    ) = machines.byName.values.any { machine ->
        val isInZone = machine.zone == zone && !machine.deleted
        isInZone && machine.heardByAt(host)?.let { now - it < settings.leaseMs / 2 } ?: false
    }

    /** One worker at a time, and only one that would be back in time if it got no response there. */
    private fun mayTry(
        host: String,
        heartbeat: Heartbeat,
        now: Long,
    ): Boolean {
        val longestAbsenceMs =
            settings.heartbeatIntervalMs * LONGEST_HEARTBEAT_GAP + RESPONSE_TIMEOUT_MS + NEXT_CONTROLLER_MS
        val isBackInTime = longestAbsenceMs < settings.leaseMs * SAFE_SHARE
        if (heartbeat.tasks.isNotEmpty() && !isBackInTime) return false
        if (now - (triedAtMs[host] ?: LONG_AGO) < settings.leaseMs) return false
        triedAtMs[host] = now
        return true
    }

    private companion object {
        const val LONG_AGO = Long.MIN_VALUE / 2
        const val PAUSE_LEASES = 3
        const val CAME_FROM_LEASES = 3

        /** The protocol: a heartbeat interval may be a quarter longer. */
        const val LONGEST_HEARTBEAT_GAP = 1.25

        /** The protocol: how long a worker waits for a response, and then until it tries the next controller. */
        const val RESPONSE_TIMEOUT_MS = 4000L
        const val NEXT_CONTROLLER_MS = 1500L
        const val SAFE_SHARE = 0.9
    }
}
