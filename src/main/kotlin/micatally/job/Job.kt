package micatally.job

import micatally.gang.Gang
import micatally.wire.CancelledTask
import micatally.wire.JobAnswer
import micatally.wire.JobSpec
import java.util.BitSet
import java.util.TreeMap

/** The state of a job in this controller's memory. */
enum class JobState {
    /** Submitted, but not stored yet. */
    NEW,

    /** Accepted. */
    OPEN,

    /** All tasks are done; final. */
    DONE,

    /** Cancelled by its user; final. */
    CANCELLED,

    /** Not led by this controller any more, or never accepted. */
    DROPPED,
}

/**
 * A job of a shard that this controller leads.
 *
 * @property spec what was submitted; null if the record does not keep it, since the job is over
 * @property submittedAt wall-clock milliseconds
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

    /** The state that is stored. Users are told of no other. */
    var durableState = startState

    /** The indices of the tasks that are done. */
    val done = BitSet()
    var doneCount = 0
        private set

    /** The live attempts by task index. */
    val attempts = TreeMap<Int, Attempt>()

    /** Only of jobs whose tasks run all together. */
    val gang: Gang? = if (spec?.isGang == true) Gang() else null

    /** The number of the next attempt of any of the tasks. */
    var nextAttempt = 1L

    /** The service that the job has had: the run time of its longest chain of attempts, in seconds. */
    var service = 0.0

    /** The index of the priority queue that the job is in. */
    var queue = 0
    var waitedSince = submittedAt
    var waitedMs = 0L

    /** No task is placed before this time, after a failure. */
    var retryAt = 0L
    val health = JobHealth()
    val stoppedOnce = HashSet<Int>()

    /** Since when the cancelled tasks are known to be listed in the state service; null if they are not. */
    var publishedAt: Long? = null

    /** The hosts of the controllers that have confirmed the cancelled tasks since then. */
    val confirmedBy = HashSet<String>()

    /** Whether the other controllers are being asked to confirm. */
    var isAwaitingConfirmations = false

    /** Whether the user may be told that the job is cancelled, see [Cancellations.mayConfirm]. */
    var isCancellationConfirmable = false

    /** Whether the record states [isCancellationConfirmable], or is about to. */
    var isConfirmableRecorded = false

    /** The revision of the record that was last seen stored; 0 if none was. */
    var modRevision = 0L

    /** How many further values the stored record takes, and the stored list of cancelled tasks. */
    var storedOverflow = 0
    var storedCancelledTasksOverflow = 0

    /** How many attempts the record is known to have room for. */
    var attemptLimit = Int.MAX_VALUE

    /** Whether it has been logged that more tasks wait than may be on machines at once. */
    var isBoundLogged = false

    /** Counts the changes that are to be stored; [durableVersion] is the one that the stored record shows. */
    var version = 0L
    var durableVersion = 0L

    /** Whether [JobStore] writes the record now, or will shortly. */
    var isWriting = false
    var isWriteScheduled = false

    /** Whether a write of the new job had an unknown outcome, so that its record may exist. */
    var mayHaveBeenCreated = false

    /** Those that wait for a version to become durable. */
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

    /** @return false if the task was done already, or is none of the job's */
    fun markDone(taskIndex: Int): Boolean {
        if (taskIndex !in 0 until taskCount || done[taskIndex]) return false
        done.set(taskIndex)
        doneCount++
        health.succeeded()
        return true
    }

    /**
     * Whether the end of the job is being written. Another controller may read it, and tell the user, before this one learns
     * that it is durable; so meanwhile this one can't answer from memory.
     */
    val isEndBeingWritten get() = (state == JobState.DONE || state == JobState.CANCELLED) && durableState != state

    /** Whether the job is neither over nor dropped, so that its tasks are to run. */
    val wantsTasks get() = state == JobState.OPEN || state == JobState.NEW

    /** The attempts as other controllers are told of them when the job is cancelled. */
    fun cancelledTasks(): List<CancelledTask> =
        attempts.values.map { CancelledTask(it.machine.name, jobId, it.taskIndex, it.number) }

    /** The indices of the tasks that neither are done nor have an attempt: the lowest ones, [limit] of them at most. */
    fun pending(limit: Int): List<Int> {
        val out = ArrayList<Int>()
        var taskIndex = done.nextClearBit(0)
        while (taskIndex < taskCount && out.size < limit) {
            if (!attempts.containsKey(taskIndex)) out.add(taskIndex)
            taskIndex = done.nextClearBit(taskIndex + 1)
        }
        return out
    }

    /** How many tasks wait for an attempt. */
    val pendingCount get() = if (!wantsTasks) 0 else taskCount - doneCount - attempts.size

    /** What a user is told about the job; its end only once that is durable. */
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
