package micatally.worker

import micatally.settings.Settings

/**
 * Finds machines that have attempts of this controller but from which no controller receives heartbeats. A task may run
 * again elsewhere only when its former attempt is proven to have ended, and the deletion of the machine proves it.
 *
 * Only silence while this controller was in contact with the others counts. Without contact it does not learn of the
 * heartbeats that others receive.
 *
 * @param contactSinceMs since when this controller has been in contact with the others; null while it is not
 */
class UnreachableMachines(
    private val machines: MachineRegistry,
    settings: Settings,
    private val contactSinceMs: () -> Long?,
    private val nowMs: () -> Long,
) {
    private val leaseMs = settings.leaseMs

    /**
     * How long a machine may be silent: two leases of its worker, plus the time for which a controller that is cut off
     * from the state store may still answer its heartbeats.
     */
    private val maxSilenceMs = leaseMs + settings.leadershipMs + leaseMs

    /** How long a machine may be silent from which no controller has ever received a heartbeat. */
    private val maxInitialSilenceMs = leaseMs * INITIAL_SILENCE_LEASES

    /** The names of the machines that are unreachable now. */
    fun names(): List<String> {
        val sinceMs = contactSinceMs() ?: return emptyList()
        val now = nowMs()
        return machines.byName.values
            .filter { !it.deleted && it.attempts.isNotEmpty() && isUnreachable(it, sinceMs, now) }
            .map { it.name }
    }

    private fun isUnreachable(
        machine: Machine,
        contactSinceMs: Long,
        now: Long,
    ): Boolean {
        val silentMs = now - maxOf(machine.heardAt, contactSinceMs)
        val hasNeverReported = machine.heardAt == 0L
        return silentMs > if (hasNeverReported) maxInitialSilenceMs else maxSilenceMs
    }

    private companion object {
        const val INITIAL_SILENCE_LEASES = 2
    }
}
