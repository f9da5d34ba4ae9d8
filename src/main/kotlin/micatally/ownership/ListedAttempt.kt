package micatally.ownership

import micatally.wire.ListedTask
import micatally.worker.AttemptId
import micatally.worker.Machine

/** Whether some leader wants an attempt that a machine lists. */
sealed interface Ownership {
    /** Not known yet. */
    data object Unknown : Ownership

    /**
     * A leader has claimed the attempt, or its job's record has it.
     *
     * @property process the process that has claimed it; null if the record has it
     * @property untilMs when the question is asked again, in ms of this controller's clock
     */
    class Owned(
        val process: String?,
        val untilMs: Long,
    ) : Ownership

    /**
     * No leader wants the attempt, according to its job's record. That is final.
     *
     * @property token a fencing token that no start command of the attempt exceeds, if [reason] is settled
     */
    class Unwanted(
        val reason: UnwantedReason,
        val token: Long,
    ) : Ownership
}

/**
 * Why a record does not want an attempt.
 *
 * @property isSettled whether the record does not have the attempt any more, so that its end has been proven to a leader
 */
enum class UnwantedReason(
    val isSettled: Boolean,
) {
    /** There is no record, so the job was never accepted. */
    NO_RECORD(true),

    /** The job is cancelled, and the record still has the attempt: its leader waits for its end. */
    CANCELLED(false),

    /** The record, of a job that is open or over, does not have the attempt. */
    NOT_CURRENT(true),
}

/**
 * An attempt in the list of a machine that reports to this controller.
 *
 * @property incarnation the machine's incarnation
 * @property isEnded whether it was listed as ended when it was first seen
 * @property firstSeenMs when it was first seen, in ms of this controller's clock
 */
class ListedAttempt(
    val machine: Machine,
    val incarnation: Long,
    val id: AttemptId,
    val isEnded: Boolean,
    val firstSeenMs: Long,
) {
    var ownership: Ownership = Ownership.Unknown

    /** Whether the machine was told to stop it because no leader wants it. */
    var isKillSent = false

    /**
     * Whether what is known of this attempt holds for the listed task. If it has ended since or was started anew, the
     * question of its owner is a new one.
     */
    fun isContinuedBy(
        machine: Machine,
        task: ListedTask,
    ): Boolean {
        if (incarnation != machine.incarnation) return false
        if (isEnded == task.isEnded) return true
        // What no record wants is followed until its entry is cleared.
        return (ownership as? Ownership.Unwanted)?.reason?.isSettled == true
    }
}
