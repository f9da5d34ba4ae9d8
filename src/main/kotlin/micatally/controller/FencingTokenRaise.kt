package micatally.controller

import micatally.membership.Membership
import micatally.worker.CommandDispatcher

/**
 * Raises the fencing token when a start command was left without an answer: a worker that knows the higher token
 * refuses the command if it still arrives.
 *
 * @param minIntervalMs the token is raised at most once in this time
 * @param startedAtMs when this controller started, on its own clock; counts as the time of the last raise
 */
class FencingTokenRaise(
    private val membership: Membership,
    private val dispatcher: CommandDispatcher,
    private val minIntervalMs: Long,
    startedAtMs: Long,
) {
    private var raisedAtMs = startedAtMs

    /** Raises the token if that is needed. Suspends until the state store has answered, or its client gives up. */
    suspend fun run(nowMs: Long) {
        if (!dispatcher.needsHigherFencingToken || nowMs - raisedAtMs <= minIntervalMs) return
        dispatcher.needsHigherFencingToken = false
        raisedAtMs = nowMs
        membership.raiseFencingToken("a run without an answer must not come late")
    }
}
