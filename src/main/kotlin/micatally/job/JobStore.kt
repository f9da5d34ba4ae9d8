package micatally.job

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.archive.RecordLookup
import micatally.membership.Keys
import micatally.state.Compare
import micatally.state.KeyValue
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import org.slf4j.LoggerFactory

/**
 * Writes the records of jobs. A record is always written as a whole, on the condition that the shard still has this leader and
 * that the stored record is the one last seen: a write whose answer was lost and that arrives late then changes nothing.
 *
 * @property retryMs the pause after a write that failed or whose outcome is unknown
 * @property batchMs how long counts of finished tasks wait for more of them
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
     * Has the job's present version written at once: new jobs, intents, stops and ends. Returns at once; writes of one job
     * never overlap, and one that is under way is followed by another.
     */
    fun requestWrite(job: Job) {
        job.version++
        if (!job.isWriting) write(job)
    }

    /** As [requestWrite], for counts of finished tasks: they may wait a little, so that one write brings several. */
    fun requestWriteLater(job: Job) {
        job.version++
        if (job.isWriting || job.isWriteScheduled) return
        job.isWriteScheduled = true
        scope.launch {
            delay(batchMs)
            job.isWriteScheduled = false
            if (!job.isWriting && job.durableVersion < job.version) write(job)
        }
    }

    /**
     * Suspends until the job's present version is durable.
     *
     * @return false if the job is not led here any more, or was refused before any write of it can have been carried out
     */
    suspend fun awaitDurable(job: Job): Boolean {
        if (job.state == JobState.DROPPED) return false
        if (job.durableVersion >= job.version) return true
        val waiter = DurabilityWaiter(job.version)
        job.waiters.add(waiter)
        return waiter.isDurable.await()
    }

    /** Resumes those that wait for what is durable by now. */
    private fun resumeDurable(job: Job) = resume(job, true) { it.version <= job.durableVersion }

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

    /** Gives the job up in memory: another controller leads it, or it was never stored. Nothing of it is written any more. */
    fun drop(job: Job) {
        job.transitionTo(JobState.DROPPED)
        resume(job, false) { true }
        if (job.shard.isLedHere) listener.jobDropped(job)
    }

    private fun write(job: Job) {
        job.isWriting = true
        scope.launch {
            try {
                writeLoop(job)
            } finally {
                job.isWriting = false
            }
        }
    }

    private suspend fun writeLoop(job: Job) {
        while (job.state != JobState.DROPPED && job.shard.isLedHere && job.durableVersion < job.version) {
            if (!writeOnce(job)) return
        }
    }

    /** What one transaction brings to the state service, as it was when the transaction was put together. */
    private class Snapshot(
        val job: Job,
        val write: RecordWrite,
    ) {
        val version = job.version
        val state = job.state
        val intended = job.attempts.values.filter { it.state == AttemptState.INTENDED }
    }

    /** @return whether to go on, with what is left to write; false if the job is dropped or its shard lost */
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

    private suspend fun onConditionFailed(
        job: Job,
        result: TransactionResult.Failed,
    ): Boolean {
        if (Keys.shard(job.shard.name) !in result.keys) return reread(job)
        listener.shardLost(job.shard)
        return false
    }

    /** The budget is asked before the transaction is put together, so its size is that of the last one. */
    private fun expectedChanges(job: Job): Int {
        val cancelledTasks = if (job.state == JobState.CANCELLED) 1 + job.storedCancelledTasksOverflow else 0
        return 1 + job.storedOverflow + cancelledTasks
    }

    /** A new job must not be stored anywhere: the record of one that is over may have been archived. */
    private fun conditions(job: Job) =
        listOfNotNull(
            Compare(Keys.shard(job.shard.name), job.shard.leader.modRevision),
            Compare(Keys.job(job.jobId), job.modRevision),
            if (job.modRevision == 0L && mayBeArchived()) Compare(Keys.final(job.jobId), 0L) else null,
        )

    /** Ends attempts for which the record has no room, before anything of them is sent; null if it does not fit even so. */
    private fun takeSnapshot(job: Job): Snapshot? {
        while (true) {
            val fit = forms.fit(job)
            val intended = job.attempts.values.filter { it.state == AttemptState.INTENDED }
            if (intended.isNotEmpty() && (fit is RecordFit.TooLarge || forms.isFull(job))) {
                listener.recordFull(job, intended.takeLast(maxOf(1, intended.size / INTENTS_GIVEN_UP_DIVISOR)))
                continue
            }
            if (fit is RecordFit.Fits) return Snapshot(job, fit.write)
            log.warn("job {} does not fit in the state service with {} attempts", job.jobId, job.attempts.size)
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
        // The tasks of a cancelled job are listed in the shared keys for as long as its record has any: once a cancellation is
        // durable, every controller that may be in contact with machines knows it, also one that starts later.
        job.publishedAt = if (snapshot.write.listsTasks) job.publishedAt ?: nowMs() else null
        if (job.state == JobState.NEW) job.transitionTo(JobState.OPEN)
        if (job.state != JobState.DROPPED) listener.recordWritten(job, snapshot.intended)
        resumeDurable(job)
    }

    /** It is certain that nothing was carried out. A new job is then refused; any other is written again after a pause. */
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
     * The stored record is not the one last seen: an earlier write of this process was carried out after all, or, for a new
     * job, another controller has accepted it. Reads until the record is known.
     *
     * @return whether the job is led here still, so that it is to be written on what was read
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

    private fun continueFrom(
        job: Job,
        stored: KeyValue,
    ): Boolean {
        if (stored.key == Keys.final(job.jobId)) {
            log.info("job {} is over and was archived", job.jobId)
            drop(job)
            return false
        }
        val record = JobRecord(stored.value)
        val isOtherShard = record.shard != job.shard.name
        // The record of a new job is this process's own only if it was written in the same term of leadership.
        if (isOtherShard || job.modRevision == 0L && record.term != job.shard.term) {
            log.info("job {} was accepted elsewhere", job.jobId)
            drop(job)
            return false
        }
        job.modRevision = stored.modRevision
        job.storedOverflow = maxOf(job.storedOverflow, RecordPacking.overflowCount(stored.value))
        return true
    }

    private companion object {
        /** A value that is too large stays so until attempts have ended or the format is raised. */
        const val TOO_LARGE_PAUSE_FACTOR = 4

        /** This part of the attempts that are not stored is given up at a time. */
        const val INTENTS_GIVEN_UP_DIVISOR = 4
    }
}
