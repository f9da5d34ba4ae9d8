package micatally.job

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import micatally.archive.RecordLookup
import micatally.membership.Keys
import micatally.state.Compare
import micatally.state.KeyValue
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.supervision.launchSupervised
import org.slf4j.LoggerFactory

/**
 * Writes the records of jobs to the state store. A record is always written as a whole, by a transaction on the
 * conditions that the shard still has this leader and that the stored record is the one last seen. So a write whose
 * response was lost, and which arrives late, changes nothing.
 *
 * @property retryMs the pause after a write that failed or whose outcome is unknown, in ms
 * @property batchMs how long ends of tasks wait for more of them before they are written, in ms
 * @property mayBeArchived whether the record of a job that is over may have been moved to the archive
 */
class JobStore(
    private val scope: CoroutineScope,
    private val state: StateStoreClient,
    private val forms: RecordForms,
    private val retryMs: Long,
    private val batchMs: Long,
    private val listener: JobStoreListener,
    private val mayBeArchived: () -> Boolean = { false },
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.job")
    private val lookup = RecordLookup(state, mayBeArchived)

    /**
     * Requests that the job is written without delay. For new jobs, new attempts, stopped attempts and ends of jobs.
     * Returns at once. Writes of one job never overlap: if one is under way, another one follows it.
     */
    fun requestWrite(job: Job) {
        job.version++
        if (!job.isWriting) write(job)
    }

    /**
     * As [requestWrite], but waits for [batchMs] first, so that one write stores several changes. For ends of tasks.
     */
    fun requestWriteLater(job: Job) {
        job.version++
        if (job.isWriting || job.isWriteScheduled) return
        job.isWriteScheduled = true
        scope.launchSupervised("delayed record write") {
            delay(batchMs)
            job.isWriteScheduled = false
            if (!job.isWriting && job.durableVersion < job.version) write(job)
        }
    }

    /**
     * Suspends until the job as it is now is durable.
     *
     * @return false if the job is not led here any more, or was refused while it was certain that no write of it was
     * carried out
     */
    suspend fun awaitDurable(job: Job): Boolean {
        if (job.state == JobState.DROPPED) return false
        if (job.durableVersion >= job.version) return true
        val waiter = DurabilityWaiter(job.version)
        job.waiters.add(waiter)
        return waiter.isDurable.await()
    }

    /** Resumes the callers of [awaitDurable] that wait for a version which is durable by now. */
    private fun resumeDurable(job: Job) = resume(job, true) { it.version <= job.durableVersion }

    /** Resumes the callers of [awaitDurable] for which [isAffected] holds, with [isDurable] as their result. */
    private fun resume(
        job: Job,
        isDurable: Boolean,
        isAffected: (DurabilityWaiter) -> Boolean,
    ) {
        val waiters = job.waiters.iterator()
        while (waiters.hasNext()) {
            val waiter = waiters.next()
            if (!isAffected(waiter)) continue
            waiters.remove()
            waiter.isDurable.complete(isDurable)
        }
    }

    /** Gives up a job that another controller leads, or that was never stored. It is not written any more. */
    fun drop(job: Job) {
        job.transitionTo(JobState.DROPPED)
        resume(job, false) { true }
        if (job.shard.isLedHere) listener.jobDropped(job)
    }

    private fun write(job: Job) {
        job.isWriting = true
        scope.launchSupervised("record write") { writeLoop(job) }.invokeOnCompletion { job.isWriting = false }
    }

    private suspend fun writeLoop(job: Job) {
        while (job.state != JobState.DROPPED && job.shard.isLedHere && job.durableVersion < job.version) {
            if (!writeOnce(job)) return
        }
    }

    /** A write of a job, and the state of the job when the write was put together. */
    private class Snapshot(
        val job: Job,
        val write: RecordWrite,
    ) {
        val version = job.version
        val state = job.state
        val intended = job.attempts.values.filter { it.state == AttemptState.INTENDED }
    }

    /**
     * Tries to write the job once, and handles the result.
     *
     * @return whether to go on with what is left to write; false if the job was dropped or its shard lost
     */
    private suspend fun writeOnce(job: Job): Boolean {
        val needsAcceptance = job.modRevision == 0L || job.durableState != job.state
        val urgency = if (needsAcceptance) Urgency.ACCEPTANCE else Urgency.INTENT
        var snapshot: Snapshot? = null
        val result =
            state.transact(expectedChanges(job), urgency) {
                snapshot = if (job.state == JobState.DROPPED || !job.shard.isLedHere) null else takeSnapshot(job)
                snapshot?.let { Transaction(conditions(job), it.write.changes) }
            }
        return when (result) {
            is TransactionResult.Applied -> {
                onApplied(checkNotNull(snapshot) { "a transaction without changes was applied" }, result.revision)
                true
            }
            is TransactionResult.Failed -> onConditionFailed(job, result)
            is TransactionResult.Unknown -> {
                if (job.modRevision == 0L) job.mayHaveBeenCreated = true
                delay(retryMs)
                true
            }
            is TransactionResult.TooLarge -> onNotWritten(job, retryMs * TOO_LARGE_PAUSE_FACTOR)
            else -> onNotWritten(job, retryMs)
        }
    }

    /**
     * Handles a write that was not carried out because one of its conditions did not hold.
     *
     * @return whether to go on writing
     */
    private suspend fun onConditionFailed(
        job: Job,
        result: TransactionResult.Failed,
    ): Boolean {
        if (Keys.shard(job.shard.name) !in result.keys) return reread(job)
        listener.shardLost(job.shard)
        return false
    }

    /**
     * How many writes to take from the write budget. They are taken before the transaction is put together, so this is
     * an estimate from what is stored now.
     */
    private fun expectedChanges(job: Job): Int {
        val cancelledTasks = if (job.state == JobState.CANCELLED) 1 + job.storedCancelledTasksOverflow else 0
        return 1 + job.storedOverflow + cancelledTasks
    }

    /**
     * The conditions of a write of the job. A new job must not have an archived record either, as it may repeat the
     * submission of a job that is over.
     */
    private fun conditions(job: Job) =
        listOfNotNull(
            Compare(Keys.shard(job.shard.name), job.shard.leader.modRevision),
            Compare(Keys.job(job.jobId), job.modRevision),
            if (job.modRevision == 0L && mayBeArchived()) Compare(Keys.final(job.jobId), 0L) else null,
        )

    /**
     * Puts together the next write. If the record has no room for all attempts, those that are not stored yet are given
     * up first, a part at a time.
     *
     * @return null if the record does not fit even without them
     */
    private fun takeSnapshot(job: Job): Snapshot? {
        while (true) {
            val fit = forms.fit(job)
            val intended = job.attempts.values.filter { it.state == AttemptState.INTENDED }
            if (intended.isNotEmpty() && (fit is RecordFit.TooLarge || forms.isFull(job))) {
                listener.recordFull(job, intended.takeLast(maxOf(1, intended.size / INTENTS_GIVEN_UP_DIVISOR)))
                continue
            }
            if (fit is RecordFit.Fits) return Snapshot(job, fit.write)
            log.warn(
                "job {}: record with {} attempts too large for the state store; refused if new, else retried",
                job.jobId,
                job.attempts.size,
            )
            return null
        }
    }

    private fun onApplied(
        snapshot: Snapshot,
        revision: Long,
    ) {
        val job = snapshot.job
        job.modRevision = revision
        job.storedOverflow = snapshot.write.overflow
        job.storedCancelledTasksOverflow = snapshot.write.cancelledTasksOverflow
        job.durableVersion = snapshot.version
        job.durableState = if (snapshot.state == JobState.NEW) JobState.OPEN else snapshot.state
        // The tasks of a cancelled job are listed in the shared keys as long as its record has attempts. So once a
        // cancellation is durable, every controller that may be in contact with machines learns of it, also one that
        // starts later.
        job.publishedAt = if (snapshot.write.listsTasks) job.publishedAt ?: nowMs() else null
        if (job.state == JobState.NEW) job.transitionTo(JobState.OPEN)
        if (job.state != JobState.DROPPED) listener.recordWritten(job, snapshot.intended)
        resumeDurable(job)
    }

    /**
     * Handles a write that was certainly not carried out. A new job that can't have been stored before either is
     * dropped, so that its submission is refused. Any other job is written again after [pauseMs].
     *
     * @return whether to go on writing
     */
    private suspend fun onNotWritten(
        job: Job,
        pauseMs: Long,
    ): Boolean {
        if (job.modRevision == 0L && !job.mayHaveBeenCreated) {
            drop(job)
            return false
        }
        delay(pauseMs)
        return true
    }

    /**
     * Reads the stored record after a write failed because the record is not the one last seen. Either an earlier write
     * of this process was carried out although its outcome was unknown, or a new job was accepted by another
     * controller. Retries until the record could be read.
     *
     * @return whether the job still belongs to this controller, so that it is to be written again on top of what was
     * read
     */
    private suspend fun reread(job: Job): Boolean {
        while (job.shard.isLedHere && job.state != JobState.DROPPED) {
            when (val read = lookup.read(job.jobId, Urgency.INTENT)) {
                is ReadResult.Unavailable -> delay(retryMs)
                is ReadResult.Missing -> {
                    job.modRevision = 0L
                    return true
                }
                is ReadResult.Found -> return continueFrom(job, read.item)
            }
        }
        return false
    }

    /**
     * Decides from the [stored] record whether the job belongs to this controller. If so, the next write is based on
     * that record; if not, the job is dropped.
     */
    private fun continueFrom(
        job: Job,
        stored: KeyValue,
    ): Boolean {
        if (stored.key == Keys.final(job.jobId)) {
            log.info("job {} is over and its record is archived, so it is dropped here", job.jobId)
            drop(job)
            return false
        }
        val record = JobRecord(stored.value)
        val isOtherShard = record.shard != job.shard.name
        // The record of a job that this process has never seen stored is its own only if the term of leadership is the
        // same.
        if (isOtherShard || job.modRevision == 0L && record.term != job.shard.term) {
            log.info("job {} was accepted by another leader, so it is dropped here", job.jobId)
            drop(job)
            return false
        }
        job.modRevision = stored.modRevision
        job.storedOverflow = maxOf(job.storedOverflow, RecordPacking.overflowCount(stored.value))
        return true
    }

    private companion object {
        /**
         * The pause after a write that was too large is this many times the usual one: the record stays too large until
         * attempts have ended or the format is raised.
         */
        const val TOO_LARGE_PAUSE_FACTOR = 4

        /** If the record has no room, the attempts that are not stored, divided by this, are given up at a time. */
        const val INTENTS_GIVEN_UP_DIVISOR = 4
    }
}
