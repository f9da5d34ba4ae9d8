package micatally.job

import micatally.gang.Gang
import micatally.wire.CancelledTask
import micatally.wire.JobAnswer
import micatally.wire.JobSpec
import java.util.BitSet
import java.util.TreeMap

/** NEW: not yet durable. OPEN: accepted. DONE and CANCELLED are final. DROPPED: this node does not own it any more. */
enum class JobState { NEW, OPEN, DONE, CANCELLED, DROPPED }

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

    /** The state that the state service holds; users hear of no other. */
    var durableState = if (startState == JobState.NEW) JobState.NEW else startState
    val done = BitSet()
    var doneCount = 0
        private set
    val attempts = TreeMap<Int, Attempt>()

    /** Only for jobs whose tasks run all together. */
    val gang: Gang? = if (spec?.isGang == true) Gang() else null
    var nextAttempt = 1L

    /** The longest service path seen, in run seconds; the queue that it puts the job in; whether waiting lifted it. */
    var service = 0.0
    var queue = 0
    var waitedSince = submittedAt
    var waitedMs = 0L
    var retryAt = 0L
    val health = JobHealth()
    val stoppedOnce = HashSet<Int>()

    // Of a cancelled job: since when its tasks are known to stand in the state service, the controllers that have confirmed
    // them since, and whether its user may be told.
    var publishedAt: Long? = null
    val confirmedBy = HashSet<String>()
    var isAwaitingConfirmations = false
    var isCancellationConfirmable = false
    var isConfirmableRecorded = false

    // What the store keeps about writing the record.
    var modRevision = 0L

    /** Further values that the stored record and its kill list take. */
    var storedOverflow = 0
    var storedCancelledTasksOverflow = 0

    /** How many attempts the record is known to have room for. */
    var attemptLimit = Int.MAX_VALUE

    /** Whether it has been logged that more tasks wait than may be on machines at once. */
    var isBoundLogged = false
    var version = 0L
    var durableVersion = 0L
    var isWriting = false
    var isWriteScheduled = false
    var mayHaveBeenCreated = false
    val waiters = ArrayList<DurabilityWaiter>()

    /** The one place where a job changes its state. */
    fun transitionTo(next: JobState) {
        if (next == state) return
        val ok =
            when (next) {
                JobState.OPEN -> state == JobState.NEW
                JobState.DONE -> state == JobState.OPEN && doneCount == taskCount
                JobState.CANCELLED -> state == JobState.OPEN || state == JobState.NEW
                JobState.DROPPED -> true
                JobState.NEW -> false
            }
        check(ok) { "job $jobId may not go from $state to $next" }
        state = next
    }

    fun markDone(taskIndex: Int): Boolean {
        if (taskIndex !in 0 until taskCount || done[taskIndex]) return false
        done.set(taskIndex)
        doneCount++
        health.succeeded()
        return true
    }

    /** The end of the job is on its way to the state service. Another node may read it there, and tell, before this one
     * hears that it is durable: what this node knows is not enough for an answer then. */
    val isEndBeingWritten get() = (state == JobState.DONE || state == JobState.CANCELLED) && durableState != state

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

    val pendingCount get() = if (!wantsTasks) 0 else taskCount - doneCount - attempts.size

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
