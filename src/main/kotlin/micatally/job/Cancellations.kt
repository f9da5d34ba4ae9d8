package micatally.job

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Settings
import micatally.wire.CancelledTask
import micatally.worker.CancelledTasks
import java.util.Collections

/**
 * Keeps the cancelled jobs of the shards led here until their tasks have ended, and decides when their users may be
 * told that the jobs are cancelled.
 *
 * @property requestConfirmations see [JobCollaborators.requestConfirmations]
 */
class Cancellations(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val sharedKeys: SharedKeyCache,
    private val store: JobStore,
    private val requestConfirmations: suspend (Job) -> Unit,
    private val nowMs: () -> Long,
) {
    /** The tasks of cancelled jobs of all shards, as far as this controller knows them. */
    val cancelledTasks = CancelledTasks(settings.cancelMs * CANCEL_DEADLINES_KEPT, nowMs)

    /**
     * Kept up to date rather than searched for among all jobs, because the response to each peer message lists them.
     */
    private val trackedJobs = LinkedHashSet<Job>()

    /** The cancelled jobs with attempts that may still be on their machines; a read-only view. */
    val unfinishedJobs: Collection<Job> = Collections.unmodifiableCollection(trackedJobs)

    /** The tasks of [unfinishedJobs] whose cancellation is durable. */
    fun unfinishedTasks(): List<CancelledTask> =
        trackedJobs
            .filter {
                it.durableState == JobState.CANCELLED
            }.flatMap { it.cancelledTasks() }

    /**
     * Adds a job that has just been cancelled here. Its tasks are stopped from now on also where their machines report
     * here.
     */
    fun begin(job: Job) {
        trackedJobs.add(job)
        // A machine that can't be reached by commands may still send heartbeats here.
        cancelledTasks.add(job.cancelledTasks())
    }

    /**
     * Adds a cancelled job that was loaded with its shard.
     *
     * @return false if its tasks are not listed in the shared keys yet, so that the job has to be written once more
     */
    fun addLoaded(job: Job): Boolean {
        trackedJobs.add(job)
        val published = sharedKeys.value(Keys.cancelledTasks(job.jobId)) ?: return false
        job.storedCancelledTasksOverflow = RecordPacking.overflowCount(published)
        // The list was written in one transaction with the record, and the copy of the shared keys is at least as new
        // as the acquisition of the shard.
        job.publishedAt = nowMs()
        return true
    }

    /**
     * Whether the user may be told that the job is cancelled.
     *
     * Workers may report to any controller, so the others have to know of the cancellation too. Either of these is
     * enough:
     *  - Every other controller has confirmed that it knows the job's tasks. It then stops them where machines report
     *    them.
     *  - [Settings.cancellationDelayMs] have passed since the tasks were listed in the state store. A controller that
     *    has lost contact with the state store has lost its leadership early enough by then, and answers no worker.
     *
     * In a zone that is cut off, tasks stop only when their workers' leases expire. If users were told earlier, such a
     * task could run for longer than [Settings.cancelMs] after that.
     *
     * A confirmation counts only if it was given after the tasks were listed in the state store: the process that gave
     * it may end, and the next process on that host learns of the tasks only from the list, which it reads at its
     * start.
     */
    fun mayConfirm(job: Job): Boolean {
        if (job.durableState != JobState.CANCELLED || job.attempts.isEmpty() ||
            job.isCancellationConfirmable
        ) {
            return true
        }
        val published = job.publishedAt ?: return false
        val isConfirmedByAll = job.confirmedBy.size >= settings.peers.size
        job.isCancellationConfirmable = isConfirmedByAll || nowMs() - published >= settings.cancellationDelayMs
        return job.isCancellationConfirmable
    }

    /**
     * Reads the list of a job's cancelled tasks again. Called when the shared [key] has changed, which is one of the
     * values of such a list. The job may be in any shard. Does nothing if the list was deleted or is not complete.
     */
    fun published(key: String) {
        val jobId = key.removePrefix(Keys.CANCELLED_TASKS).substringBefore('/')
        val main = sharedKeys.value(Keys.cancelledTasks(jobId)) ?: return
        val parts =
            (0 until RecordPacking.overflowCount(main)).map {
                sharedKeys.value(Keys.cancelledTasksPart(jobId, it))
                    ?: return
            }
        cancelledTasks.add(CancelledTasksValue.decode(jobId, RecordPacking.unpack(main, parts)))
    }

    /**
     * Takes care of the cancelled jobs whose machines do not confirm the stop in time. The other controllers are asked
     * to confirm the cancelled tasks: after a failover nothing else repeats that request. Once the user may be told,
     * this is stored in the job's record, so that any controller may answer. Called regularly.
     */
    fun follow(now: Long) {
        for (job in trackedJobs.toList()) if (isStopOverdue(job, now)) confirm(job)
        trackedJobs.removeIf { it.attempts.isEmpty() || it.state != JobState.CANCELLED }
        cancelledTasks.prune { sharedKeys.has(Keys.cancelledTasks(it)) }
    }

    private fun isStopOverdue(
        job: Job,
        now: Long,
    ): Boolean {
        if (job.shard.state != ShardState.ACTIVE || job.durableState != JobState.CANCELLED) return false
        if (job.isConfirmableRecorded) return false
        val stoppedBefore = now - settings.leaseMs / OVERDUE_LEASE_DIVISOR
        return job.attempts.values.any { it.stop == StopReason.CANCELLED && it.stopSinceMs < stoppedBefore }
    }

    private fun confirm(job: Job) {
        if (mayConfirm(job)) {
            job.isConfirmableRecorded = true
            store.requestWrite(job)
            return
        }
        if (job.isAwaitingConfirmations) return
        job.isAwaitingConfirmations = true
        scope.launch(CoroutineName("cancellation confirmation")) {
            try {
                requestConfirmations(job)
            } finally {
                job.isAwaitingConfirmations = false
            }
        }
    }

    private companion object {
        /**
         * Cancelled tasks are remembered for this many times [Settings.cancelMs]: their leader may end before it can
         * report that they are terminated.
         */
        const val CANCEL_DEADLINES_KEPT = 2

        /**
         * A stop is overdue after a lease divided by this. A machine that can be reached confirms it within that time.
         */
        const val OVERDUE_LEASE_DIVISOR = 10
    }
}
