package micatally.controller

import micatally.membership.Membership
import micatally.settings.Settings
import micatally.worker.FencingTokenDemand
import micatally.worker.MachineRegistry
import micatally.worker.RaiseReason

/**
 * Raises the fencing token when run commands that were sent before have to be ruled out; see
 * [micatally.worker.SentRuns]. A worker that has accepted the higher token rejects them.
 *
 * Each raise lets every worker report once more. So entries of ended tasks wait for a token that is higher for whatever
 * reason, and the token is raised for them alone only [ENTRY_WAIT_LEASES] leases after its last change.
 *
 * @param startedAtMs when this controller started, on its own clock; taken as the time of the last raise
 */
class FencingTokenRaise(
    private val membership: Membership,
    private val demand: FencingTokenDemand,
    private val machines: MachineRegistry,
    private val settings: Settings,
    startedAtMs: Long,
) {
    private var lastRaisedAtMs = startedAtMs
    private var lastToken = 0L
    private var lastChangedAtMs = startedAtMs

    /** Raises the token if needed. Suspends until the state store has responded or the request has timed out. */
    suspend fun run(nowMs: Long) {
        val token = membership.sharedKeys.fencingToken
        noteToken(token, nowMs)
        val reason = demand.reasonToRaise(token) ?: return
        if (!isDue(reason, nowMs)) return
        lastRaisedAtMs = nowMs
        membership.raiseFencingToken("$reason, ${machines.byName.values.sumOf { it.endedTaskCount }} entries listed")
    }

    private fun noteToken(
        token: Long,
        nowMs: Long,
    ) {
        if (token == lastToken) return
        lastToken = token
        lastChangedAtMs = nowMs
    }

    private fun isDue(
        reason: RaiseReason,
        nowMs: Long,
    ): Boolean {
        val sinceOwnRaiseMs = nowMs - lastRaisedAtMs
        val sinceChangeMs = nowMs - lastChangedAtMs
        return when (reason) {
            RaiseReason.PROOF -> sinceOwnRaiseMs > settings.leaseMs / 2
            RaiseReason.FULL_LIST -> minOf(sinceOwnRaiseMs, sinceChangeMs) > settings.leaseMs
            RaiseReason.ENTRIES -> minOf(sinceOwnRaiseMs, sinceChangeMs) > settings.leaseMs * ENTRY_WAIT_LEASES
        }
    }

    private companion object {
        /** How long entries of ended tasks wait for a higher token at the most, in leases of the workers. */
        const val ENTRY_WAIT_LEASES = 3
    }
}
