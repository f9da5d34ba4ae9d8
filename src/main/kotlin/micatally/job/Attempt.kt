package micatally.job

import micatally.wire.ExitReason
import micatally.worker.Machine

/** Where one start of one task stands.
 *
 * INTENDED: decided, not yet in the state service, so nothing may be sent.
 * RECORDED: the intent is durable; no run has left.
 * DISPATCHED: a run may have left. From here on only a proof ends the attempt.
 * PULLING, WAITING, RUNNING, SAVING: as the worker said last; a gang's task waits for the others.
 * GONE: proven not to be on its machine and not to come there any more. */
enum class AttemptState { INTENDED, RECORDED, DISPATCHED, PULLING, WAITING, RUNNING, SAVING, TERMINATED }

/** The proofs that an attempt is gone. Nothing else counts; above all no report that merely lacks it. */
enum class TerminationEvidence { NEVER_SENT, DIRECT_RESPONSE, NEWER_INCARNATION, MACHINE_DELETED, COMPLETED }

/**
 * How an attempt ended.
 *
 * @property reason what the worker said, if it said anything
 */
class AttemptTermination(
    val proof: TerminationEvidence,
    val detail: String,
    val reason: ExitReason? = null,
    val isSaved: Boolean = false,
) {
    override fun toString() = "$proof $detail" + if (isSaved) " saved" else ""
}

/** Why an attempt is to be stopped; an earlier reason replaces a later one. */
enum class StopReason { CANCELLED, DRAIN, PREEMPTED, GANG_ENDED, STRAY }

class Attempt(
    val job: Job,
    val taskIndex: Int,
    val number: Long,
    val machine: Machine,
    val incarnation: Long,
    val inherited: Double,
    startState: AttemptState,
) {
    var state = startState
        private set
    var stop: StopReason? = null
        private set
    var stopSinceMs = 0L
        private set
    var runningSince: Long? = null
    var sentAt: Long? = null

    /** The one place where an attempt changes its state. */
    fun transitionTo(
        next: AttemptState,
        nowMs: Long,
    ) {
        if (next == state) return
        check(
            next.ordinal > state.ordinal,
        ) { "attempt ${job.jobId}/$taskIndex#$number may not go from $state to $next" }
        state = next
        if (next == AttemptState.RUNNING && runningSince == null) runningSince = nowMs
    }

    fun stop(
        reason: StopReason,
        nowMs: Long,
    ): Boolean {
        if (stop != null && stop!!.ordinal <= reason.ordinal) return false
        if (stop == null) stopSinceMs = nowMs
        stop = reason
        return true
    }

    val maySend get() = state >= AttemptState.RECORDED && state != AttemptState.TERMINATED
    val isLive get() = state != AttemptState.TERMINATED

    override fun toString() = "${job.jobId}/$taskIndex#$number@${machine.name}"
}
