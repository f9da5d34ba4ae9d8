package micatally.job

import micatally.gang.Gang
import micatally.wire.CancelledTask
import micatally.wire.JobAnswer
import micatally.wire.JobSpec
import java.util.BitSet
import java.util.TreeMap

/** The state of a job in this controller's memory. */
enum class JobState {
    /** Submitted here, but not known to be stored yet. */
    NEW,

    /** Accepted: its record is stored. */
    OPEN,

    /** All tasks are done; final. */
    DONE,

    /** Cancelled by its user; final. */
    CANCELLED,

    /** Not this controller's any more: another controller leads it, or it was never accepted. */
    DROPPED,
}

/**
 * A job of a shard that this controller leads.
 *
 * @property spec what was submitted; null if the record has dropped it because the job is over
 * @property submittedAt when it was submitted, in ms of the wall clock
 */
class Job(
    val jobId: String,
    val spec: JobSpec?,
    val shard: JobShard,
    val taskCount: Int,
    val submittedAt: Long,
    startState: JobState,
) {
    var state = startState
        private set

    /** The state that the stored record shows. Users are told of no other. */
    var durableState = startState

    /** The indices of the tasks that are done. */
    val done = BitSet()
    var doneCount = 0
        private set

    /** The attempts that are not proven to have ended, by task index. */
    val attempts = TreeMap<Int, Attempt>()

    /** The state of the gang; null if the job is no gang, whose tasks run all together. */
    val gang: Gang? = if (spec?.isGang == true) Gang() else null

    /** The number that the next attempt gets, whichever task it is for. */
    var nextAttempt = 1L

    /**
     * The job's attained service: the run time of its longest chain of attempts that followed each other, in seconds.
     */
    var attainedServiceS = 0.0

    /** The index of the priority queue that the job was in when tasks of it were last placed. */
    var queue = 0
    var waitedSince = submittedAt

    /** For how long tasks of the job have waited while none of them ran, in ms. Not stored. */
    var waitedMs = 0L

    /** No task of the job is placed before this time after a failure, in ms of this controller's monotonic clock. */
    var retryAt = 0L

    /** What failures and successes of its tasks say about the job. */
    val health = JobHealth()

    /** The indices of the tasks that were preempted here. A task is not preempted again by the same leader. */
    val preemptedTasks = HashSet<Int>()

    /**
     * Since when the cancelled tasks are known to be listed in the state store, in monotonic ms; null if they are not.
     */
    var publishedAt: Long? = null

    /** The hosts of the other controllers that have confirmed the cancelled tasks since [publishedAt]. */
    val confirmedBy = HashSet<String>()

    /** Whether a request to the other controllers to confirm the cancelled tasks is under way. */
    var isAwaitingConfirmations = false

    /** Whether the user may be told that the job is cancelled, see [Cancellations.mayConfirm]. */
    var isCancellationConfirmable = false

    /** Whether the record states [isCancellationConfirmable], or a write that does so was requested. */
    var isConfirmableRecorded = false

    /** The revision of the stored record as last seen; 0 if no stored record was seen. */
    var modRevision = 0L

    /** How many overflow values the stored record takes at most. */
    var storedOverflow = 0

    /** How many overflow values the stored list of cancelled tasks takes. */
    var storedCancelledTasksOverflow = 0

    /**
     * How many attempts the job may have at once, as its record has room for no more; no limit until a record was full.
     */
    var attemptLimit = Int.MAX_VALUE

    /** Whether it has been logged that the job has more tasks than it may have attempts at once. */
    var isAttemptLimitLogged = false

    /** The version of the job in memory: it counts the requests to write the job. */
    var version = 0L

    /** The [version] that the stored record shows. */
    var durableVersion = 0L

    /** Whether [JobStore] is writing the record. */
    var isWriting = false

    /** Whether [JobStore] is going to write the record after a delay. */
    var isWriteScheduled = false

    /** Whether a write of the new job had an unknown outcome, so that its record may have been stored. */
    var mayHaveBeenCreated = false

    /** The callers of [JobStore.awaitDurable] that wait for a version to become durable. */
    val waiters = ArrayList<DurabilityWaiter>()

    /** Moves the job to [next]; the only way to change its state. */
    fun transitionTo(next: JobState) {
        if (next == state) return
        val isAllowed =
            when (next) {
                JobState.OPEN -> state == JobState.NEW
                JobState.DONE -> state == JobState.OPEN && doneCount == taskCount
                JobState.CANCELLED -> state == JobState.OPEN || state == JobState.NEW
                JobState.DROPPED -> true
                JobState.NEW -> false
            }
        check(isAllowed) { "job $jobId may not go from $state to $next" }
        state = next
    }

    /**
     * Marks the task as done.
     *
     * @return false if the task was done already, or is not one of the job's
     */
    fun markDone(taskIndex: Int): Boolean {
        if (taskIndex !in 0 until taskCount || done[taskIndex]) return false
        done.set(taskIndex)
        doneCount++
        health.succeeded()
        return true
    }

    /**
     * Whether the end of the job is known here but not known to be durable. Another controller may read the end from
     * the state store and tell the user before this one learns that it is durable. So this one must not answer from
     * memory meanwhile.
     */
    val isEndBeingWritten get() = (state == JobState.DONE || state == JobState.CANCELLED) && durableState != state

    /** Whether the job's tasks are to run: it is neither over nor dropped. */
    val wantsTasks get() = state == JobState.OPEN || state == JobState.NEW

    /**
     * The job's attempts in the form in which they are sent to other controllers and stored when the job is cancelled.
     */
    fun cancelledTasks(): List<CancelledTask> =
        attempts.values.map { CancelledTask(it.machine.name, jobId, it.taskIndex, it.number) }

    /** The lowest indices of the tasks that are neither done nor have an attempt, at most [limit] of them. */
    fun pending(limit: Int): List<Int> {
        val out = ArrayList<Int>()
        var taskIndex = done.nextClearBit(0)
        while (taskIndex < taskCount && out.size < limit) {
            if (!attempts.containsKey(taskIndex)) out.add(taskIndex)
            taskIndex = done.nextClearBit(taskIndex + 1)
        }
        return out
    }

    /** How many tasks wait for an attempt; 0 if the job is over or dropped. */
    val pendingCount get() = if (!wantsTasks) 0 else taskCount - doneCount - attempts.size

    /** What a user is told about the job. The job counts as over only once that is durable. */
    fun answer(): JobAnswer {
        val running = attempts.values.count { it.state == AttemptState.RUNNING || it.state == AttemptState.SAVING }
        val status =
            when (durableState) {
                JobState.DONE -> JobAnswer.DONE
                JobState.CANCELLED -> JobAnswer.CANCELLED
                else -> if (running > 0) JobAnswer.RUNNING else JobAnswer.PENDING
            }
        return JobAnswer(jobId, status, doneCount, running)
    }
}
