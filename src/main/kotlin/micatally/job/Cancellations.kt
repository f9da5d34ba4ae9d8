package micatally.job

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Settings
import micatally.wire.CancelledTask
import micatally.worker.CancelledTasks

/** Cancelled jobs of this node's shards, and when their users may hear that they are cancelled. */
class Cancellations(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val sharedKeys: SharedKeyCache,
    private val store: JobStore,
    private val requestConfirmations: suspend (Job) -> Unit,
    private val nowMs: () -> Long,
) {
    /** Tasks of cancelled jobs of all owners, as far as this node has heard of them. */
    val cancelledTasks = CancelledTasks(settings.cancelMs * CANCELS_KEPT, nowMs)

    /** Jobs with tasks that are not proven gone. Kept, not looked for: each message from a peer asks for them. */
    private val pending = LinkedHashSet<Job>()
    val unfinished: Collection<Job> get() = pending

    /** Tasks that may still be on their machines. */
    fun unfinishedTasks(): List<CancelledTask> =
        pending
            .filter {
                it.durableState == JobState.CANCELLED
            }.flatMap { it.cancelledTasks() }

    fun begin(job: Job) {
        pending.add(job)
        // Its machines may report here and still not be reached by an order.
        cancelledTasks.take(job.cancelledTasks())
    }

    /** After a takeover; false if the job's tasks have yet to be published. */
    fun adopted(job: Job): Boolean {
        pending.add(job)
        val published = sharedKeys.value(Keys.cancelledTasks(job.jobId)) ?: return false
        job.storedCancelledTasksOverflow = RecordPacking.overflowCount(published)
        // Written together with the record; this node's copy of the shared keys is as new as its hold on the shard.
        job.publishedAt = nowMs()
        return true
    }

    /**
     * Every controller that may answer workers either knows the job's tasks, and stops them where it hears them, or has lost
     * touch: then its authority ends early enough after [Settings.cancellationDelayMs] have passed since they lie in the state
     * service. Telling the user before that would leave a zone that is cut off only until its workers' leases end. A
     * confirmation counts only after the tasks lie there: the process that gave it may end, and the next one reads them at
     * its start.
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

    /** The shared keys have changed: tasks that some owner has published. */
    fun published(key: String) {
        val jobId = key.removePrefix(Keys.CANCELLED_TASKS).substringBefore('/')
        val main = sharedKeys.value(Keys.cancelledTasks(jobId)) ?: return
        val parts =
            (0 until RecordPacking.overflowCount(main)).map {
                sharedKeys.value(Keys.cancelledTasksPart(jobId, it))
                    ?: return
            }
        cancelledTasks.take(CancelledTasksValue.decode(jobId, RecordPacking.unpack(main, parts)))
    }

    /**
     * The tasks of cancelled jobs that their machines do not confirm in time: once their user may hear of the end, any node
     * may say so, whoever asks. After a change of owner nobody else asks the other controllers again.
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
        val isOwn = job.shard.state == ShardState.ACTIVE && job.durableState == JobState.CANCELLED
        val since = now - settings.leaseMs / OVERDUE_SHARE
        return isOwn && !job.isConfirmableRecorded &&
            job.attempts.values.any { it.stop == StopReason.CANCELLED && it.stopSinceMs < since }
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
        /** An owner may end before it can say that a task is gone, so tasks are kept well beyond the time to cancel. */
        const val CANCELS_KEPT = 2

        /** After this share of a lease a machine that is reached has confirmed the end of its task. */
        const val OVERDUE_SHARE = 10
    }
}
