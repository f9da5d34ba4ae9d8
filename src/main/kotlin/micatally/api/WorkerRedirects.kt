package micatally.api

import micatally.settings.Settings
import micatally.wire.Heartbeat
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/**
 * Sends workers to the controller of their own zone, so that a cut between zones does not end their leases.
 *
 * That controller may be one that its workers can't reach while it talks to the other controllers and to the state service. A worker
 * that came from there has left it because it got no answer: sent back, it would lose its lease and all its tasks. So nobody is sent
 * where he came from, and while a controller hears no worker of the zone only one at a time is sent to try.
 */
class WorkerRedirects(
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val nowMs: () -> Long,
    private val bestFor: (String) -> String?,
) {
    private val redirectedAt = HashMap<String, Long>()
    private val triedAt = HashMap<String, Long>()

    /** The controller that the worker is to report to instead of this one; null: it stays here. */
    fun targetFor(
        machine: Machine,
        report: Heartbeat,
    ): String? {
        val now = nowMs()
        // Once in a while only, so that two controllers that see the others differently don't toss it about.
        if (now - (redirectedAt[machine.name] ?: LONG_AGO) <= settings.leaseMs * PAUSE_LEASES) return null
        val target = bestFor(machine.zone)
        if (target == null || target == settings.host) return null
        val cameFromThere = machine.heardByAt(target)?.let { now - it < settings.leaseMs * CAME_FROM_LEASES } ?: false
        if (cameFromThere || !isHeardAt(target, machine.zone, now) && !mayTry(target, report, now)) return null
        redirectedAt[machine.name] = now
        return target
    }

    private fun isHeardAt(
        host: String,
        zone: String,
        now: Long,
    ) = machines.byName.values.any { m ->
        m.zone == zone && !m.deleted && m.heardByAt(host)?.let { now - it < settings.leaseMs / 2 } ?: false
    }

    /** One worker at a time, and only one that would be back in time if it got no answer there. */
    private fun mayTry(
        host: String,
        report: Heartbeat,
        now: Long,
    ): Boolean {
        val isBackInTime =
            settings.heartbeatIntervalMs * LONGEST_REPORT_GAP + REPORT_TIMEOUT_MS + NEXT_NODE_MS <
                settings.leaseMs * SAFE_SHARE
        if (report.tasks.isNotEmpty() && !isBackInTime) return false
        if (now - (triedAt[host] ?: LONG_AGO) < settings.leaseMs) return false
        triedAt[host] = now
        return true
    }

    private companion object {
        const val LONG_AGO = Long.MIN_VALUE / 2
        const val PAUSE_LEASES = 3
        const val CAME_FROM_LEASES = 3

        /** The protocol: a report interval may be a quarter longer. */
        const val LONGEST_REPORT_GAP = 1.25

        /** The protocol: how long a worker waits for an answer, and then until it tries the next controller. */
        const val REPORT_TIMEOUT_MS = 4000L
        const val NEXT_NODE_MS = 1500L
        const val SAFE_SHARE = 0.9
    }
}
