package micatally.job

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Settings
import micatally.wire.CancelledTask
import micatally.worker.CancelledTasks
import java.util.Collections

/**
 * The cancelled jobs of the shards led here, and when their users may be told that they are cancelled.
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
    val cancelledTasks = CancelledTasks(settings.cancelMs * CANCEL_TIMES_KEPT, nowMs)

    /** Kept up to date instead of searched for, since each message from another controller asks for them. */
    private val pending = LinkedHashSet<Job>()

    /** The cancelled jobs with attempts that may still be on their machines; a read-only view. */
    val unfinished: Collection<Job> = Collections.unmodifiableCollection(pending)

    /** The tasks of [unfinished] jobs whose cancellation is durable. */
    fun unfinishedTasks(): List<CancelledTask> =
        pending
            .filter {
                it.durableState == JobState.CANCELLED
            }.flatMap { it.cancelledTasks() }

    /** The job has just been cancelled here. */
    fun begin(job: Job) {
        pending.add(job)
        // Machines that no command reaches may still report here.
        cancelledTasks.add(job.cancelledTasks())
    }

    /**
     * A cancelled job was loaded after a failover.
     *
     * @return false if its tasks have yet to be listed in the shared keys
     */
    fun adopted(job: Job): Boolean {
        pending.add(job)
        val published = sharedKeys.value(Keys.cancelledTasks(job.jobId)) ?: return false
        job.storedCancelledTasksOverflow = RecordPacking.overflowCount(published)
        // They were written together with the record, and the copy of the shared keys is as new as the leadership of the shard.
        job.publishedAt = nowMs()
        return true
    }

    /**
     * Whether the user may be told that the job is cancelled.
     *
     * That takes either a confirmation of every other controller that may answer workers: it knows the job's tasks then, and
     * stops them where machines report them. Or it takes [Settings.cancellationDelayMs] since the tasks were listed in the
     * state service: a controller that has lost contact with it has lost its leadership early enough by then. If users were
     * told earlier, the tasks in a zone that is cut off would have only until their workers' leases expire.
     *
     * A confirmation counts only after the tasks are listed: the process that gave it may end, and its successor reads the
     * list at its start.
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

    /** The shared [key] has changed, one of the values that list the cancelled tasks of a job of any shard. */
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
     * Follows up the cancelled jobs whose machines do not confirm the stop in time: asks the other controllers, which nobody
     * else does again after a failover, and records that the user may be told, so that any controller may do so. Called
     * regularly.
     */
    fun follow(now: Long) {
        for (job in pending.toList()) if (isOverdue(job, now)) confirm(job)
        pending.removeIf { it.attempts.isEmpty() || it.state != JobState.CANCELLED }
        cancelledTasks.prune { sharedKeys.has(Keys.cancelledTasks(it)) }
    }

    private fun isOverdue(
        job: Job,
        now: Long,
    ): Boolean {
        if (job.shard.state != ShardState.ACTIVE || job.durableState != JobState.CANCELLED) return false
        if (job.isConfirmableRecorded) return false
        val stoppedBefore = now - settings.leaseMs / OVERDUE_SHARE
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
        scope.launch {
            try {
                requestConfirmations(job)
            } finally {
                job.isAwaitingConfirmations = false
            }
        }
    }

    private companion object {
        /**
         * Tasks are kept for this many times the time that a cancellation may take: their leader may end before it can tell
         * that they are terminated.
         */
        const val CANCEL_TIMES_KEPT = 2

        /** Within this part of a lease a machine that can be reached confirms the end of its task. */
        const val OVERDUE_SHARE = 10
    }
}
