package micatally.controller

import micatally.membership.Membership
import micatally.worker.CommandDispatcher

/**
 * Raises the fencing token when a run command got no response and may still arrive at its worker. A worker that has
 * seen the higher token rejects the late command.
 *
 * @param minIntervalMs the least time between two raises, in milliseconds
 * @param startedAtMs when this controller started, on its own clock; taken as the time of the last raise
 */
class FencingTokenRaise(
    private val membership: Membership,
    private val dispatcher: CommandDispatcher,
    private val minIntervalMs: Long,
    startedAtMs: Long,
) {
    private var lastRaisedAtMs = startedAtMs

    /** Raises the token if needed. Suspends until the state store has responded or the request has timed out. */
    suspend fun run(nowMs: Long) {
        if (!dispatcher.needsHigherFencingToken || nowMs - lastRaisedAtMs <= minIntervalMs) return
        dispatcher.needsHigherFencingToken = false
        lastRaisedAtMs = nowMs
        membership.raiseFencingToken("a run without an answer must not come late")
    }
}
