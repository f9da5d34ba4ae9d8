package micatally.job

import micatally.wire.ExitReason
import micatally.worker.Machine

/** The state of one attempt to run a task. An attempt only moves forward through these, though it may skip some. */
enum class AttemptState {
    /** Decided, but not stored yet, so no command may be sent for it. */
    INTENDED,

    /** The intent is durable; no run command has been sent. */
    RECORDED,

    /** A run command may have been sent. From here on the attempt ends only on [TerminationEvidence]. */
    DISPATCHED,

    /** The worker pulls the image. */
    PULLING,

    /** The worker holds a gang's task until the others are ready too. */
    WAITING,

    /** The worker runs the task. */
    RUNNING,

    /** The worker saves a checkpoint before it stops the task. */
    SAVING,

    /** Proven to be neither on its machine nor able to start there any more. */
    TERMINATED,
}

/** What proves that an attempt has ended. Nothing else does; in particular not a heartbeat that does not list it. */
enum class TerminationEvidence {
    /** No command to run it was sent. */
    NEVER_SENT,

    /** The machine's response to a command of this controller shows it. */
    DIRECT_RESPONSE,

    /** The machine has started anew since. */
    NEWER_INCARNATION,

    /** The machine does not exist any more. */
    MACHINE_DELETED,

    /** The task is done, which can't change, so that a heartbeat is enough. */
    COMPLETED,
}

/**
 * How an attempt ended.
 *
 * @property detail for the log
 * @property reason the worker's reason, if it gave one
 * @property isSaved whether the worker saved a checkpoint
 */
class AttemptTermination(
    val proof: TerminationEvidence,
    val detail: String,
    val reason: ExitReason? = null,
    val isSaved: Boolean = false,
) {
    override fun toString() = "$proof $detail" + if (isSaved) " saved" else ""
}

/** Why an attempt is to be stopped. A reason that stands earlier here replaces one that stands later. */
enum class StopReason { CANCELLED, DRAIN, PREEMPTED, GANG_ENDED, STRAY }

/**
 * One attempt to run a task of a job on a machine.
 *
 * @property number distinguishes the attempts of a task
 * @property incarnation the machine's incarnation that it was placed on
 * @property inherited the job's service ([Job.service]) when the attempt began, in seconds
 */
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

    /** Why the attempt is to be stopped; null if it is not. */
    var stop: StopReason? = null
        private set

    /** When it was first to be stopped. */
    var stopSinceMs = 0L
        private set

    /** When it was first reported as running, on this controller's clock. */
    var runningSince: Long? = null

    /** When this process last sent a command to run it; null if it sent none. */
    var sentAt: Long? = null

    /** Moves the attempt forward to [next]; the only way to change its state. */
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

    /**
     * Has the attempt stopped; the commands for it follow with the machine's next sync.
     *
     * @return false if it is to be stopped already, for this reason or one that replaces it
     */
    fun stop(
        reason: StopReason,
        nowMs: Long,
    ): Boolean {
        val former = stop
        if (former != null && former <= reason) return false
        if (former == null) stopSinceMs = nowMs
        stop = reason
        return true
    }

    /** Whether commands may be sent for it. */
    val maySend get() = state >= AttemptState.RECORDED && state != AttemptState.TERMINATED
    val isLive get() = state != AttemptState.TERMINATED

    override fun toString() = "${job.jobId}/$taskIndex#$number@${machine.name}"
}
