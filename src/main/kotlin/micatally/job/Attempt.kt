package micatally.job

import micatally.wire.ExitReason
import micatally.worker.Machine

/** The state of an attempt to run a task. An attempt moves through the states in this order only, and may skip some. */
enum class AttemptState {
    /** Placed on a machine, but not stored yet, so no command may be sent for it. */
    INTENDED,

    /** The job's record with the attempt is durable; no run command has been sent. */
    RECORDED,

    /** A run command may have been sent, by this leader or a former one. A stop alone no longer ends the attempt. */
    DISPATCHED,

    /** The worker pulls the image. */
    PULLING,

    /** The worker holds the task of a gang back until the other tasks are ready too. */
    WAITING,

    /** The worker runs the task. */
    RUNNING,

    /** The worker saves a checkpoint before it stops the task. */
    SAVING,

    /** There is [TerminationEvidence] that the attempt neither runs on its machine nor can start there any more. */
    TERMINATED,
}

/** What proves that an attempt has ended. Nothing else does. A heartbeat that does not list the attempt is no proof. */
enum class TerminationEvidence {
    /** No run command was ever sent for the attempt. */
    NEVER_SENT,

    /** The machine's response to a command request of this controller shows that the attempt has ended. */
    DIRECT_RESPONSE,

    /** The machine has a newer incarnation than the one on which the attempt was placed. */
    NEWER_INCARNATION,

    /** The machine was deleted. */
    MACHINE_DELETED,

    /** The task is reported as done. That never changes, so a heartbeat is enough to prove it. */
    COMPLETED,
}

/**
 * How an attempt ended.
 *
 * @property detail explanation for the log
 * @property reason the worker's exit reason; null if there is none, or none that this program knows
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

/** Why an attempt is to be stopped. An attempt's reason is replaced only by one that is declared earlier here. */
enum class StopReason { CANCELLED, DRAIN, PREEMPTED, GANG_ENDED, STRAY }

/**
 * One attempt to run a task of a job on a machine.
 *
 * @property number distinguishes the attempts of a task; all attempts of one run of a gang have the same number
 * @property incarnation the incarnation of the machine on which the attempt was placed
 * @property inheritedServiceS the job's attained service ([Job.attainedServiceS]) when the attempt was created, in
 *   seconds
 */
class Attempt(
    val job: Job,
    val taskIndex: Int,
    val number: Long,
    val machine: Machine,
    val incarnation: Long,
    val inheritedServiceS: Double,
    startState: AttemptState,
) {
    var state = startState
        private set

    /** Why the attempt is to be stopped; null if it is not. */
    var stop: StopReason? = null
        private set

    /** When [stop] was first set, in ms of this controller's monotonic clock; 0 if it is not set. */
    var stopSinceMs = 0L
        private set

    /** When it was first reported as running, in ms of this controller's monotonic clock; null if it was not. */
    var runningSince: Long? = null

    /** When this process last sent a run command for it, in ms of the monotonic clock; null if it sent none. */
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
     * Marks the attempt to be stopped for [reason]. Sends nothing: the kill command follows with the machine's next
     * sync.
     *
     * @return false if nothing changes because the attempt has this reason already, or one that is declared earlier
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

    /** Whether commands may be sent for it, as far as its state is concerned. */
    val maySend get() = state >= AttemptState.RECORDED && state != AttemptState.TERMINATED
    val isLive get() = state != AttemptState.TERMINATED

    override fun toString() = "${job.jobId}/$taskIndex#$number@${machine.name}"
}
