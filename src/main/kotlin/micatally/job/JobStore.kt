package micatally.job

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.archive.RecordLookup
import micatally.membership.Keys
import micatally.state.Compare
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import org.slf4j.LoggerFactory

/** Writes job records. A record is always written whole, on the condition that the shard is still this node's and
 * that the record is the one last seen: a write whose answer was lost and which comes late then changes nothing. */
class JobStore(
    private val scope: CoroutineScope,
    private val state: StateStoreClient,
    private val forms: RecordForms,
    private val pauseMs: Long,
    private val countsMs: Long,
    private val listener: JobStoreListener,
    private val mayBeArchived: () -> Boolean = { false },
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.job")
    private val lookup = RecordLookup(state, mayBeArchived)

    /** Asks for a write. Intents, ends and new jobs are urgent (see [isUrgent]); counts of finished tasks may wait a little. */
    fun touch(
        job: Job,
        isUrgent: Boolean,
    ) {
        job.version++
        if (job.isWriting) return
        if (!isUrgent) {
            if (job.isWriteScheduled) return
            job.isWriteScheduled = true
            scope.launch {
                delay(countsMs)
                job.isWriteScheduled = false
                if (!job.isWriting &&
                    job.durableVersion < job.version
                ) {
                    write(job)
                }
            }
            return
        }
        write(job)
    }

    /** Waits until the job's present version is durable; false if the job is not this node's any more, or was refused
     * before any write of it can have been carried out. */
    suspend fun awaitDurable(job: Job): Boolean {
        if (job.state == JobState.DROPPED) return false
        if (job.durableVersion >= job.version) return true
        val result = CompletableDeferred<Boolean>()
        job.waiters.add(job.version to result)
        return result.await()
    }

    private fun settle(
        job: Job,
        isDurable: Boolean,
    ) {
        val each = job.waiters.iterator()
        while (each.hasNext()) {
            val (version, result) = each.next()
            if (!isDurable || version <= job.durableVersion) {
                each.remove()
                result.complete(isDurable)
            }
        }
    }

    fun drop(job: Job) {
        job.transitionTo(JobState.DROPPED)
        settle(job, false)
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

    /** False if there is nothing more to write here. */
    private suspend fun writeOnce(job: Job): Boolean {
        val urgency = if (job.modRevision == 0L || job.durableState != job.state) Urgency.ACCEPTANCE else Urgency.INTENT
        var snapshot: Snapshot? = null
        val result =
            state.transact(expectedChanges(job), urgency) {
                snapshot = if (job.state == JobState.DROPPED || !job.shard.isLedHere) null else snapshot(job)
                snapshot?.let { Transaction(conditions(job), it.write.changes) }
            }
        return when (result) {
            is TransactionResult.Applied -> {
                applied(snapshot!!, result.revision)
                true
            }
            is TransactionResult.Failed ->
                if (Keys.shard(job.shard.name) in result.keys) {
                    listener.shardLost(job.shard)
                    false
                } else {
                    reread(job)
                }
            is TransactionResult.Unknown -> {
                if (job.modRevision == 0L) job.mayHaveBeenCreated = true
                delay(pauseMs)
                true
            }
            is TransactionResult.TooLarge -> notWritten(job, pauseMs * PAUSES_WHEN_TOO_LARGE)
            else -> notWritten(job, pauseMs)
        }
    }

    /** The budget is asked before the transaction is put together, so its size is that of the last one. */
    private fun expectedChanges(job: Job): Int {
        val cancelledTasks = if (job.state == JobState.CANCELLED) 1 + job.storedCancelledTasksOverflow else 0
        return 1 + job.storedOverflow + cancelledTasks
    }

    /** A new job is nowhere: the record of one that is over may have been archived. */
    private fun conditions(job: Job) =
        listOfNotNull(
            Compare(Keys.shard(job.shard.name), job.shard.leader.modRevision),
            Compare(Keys.job(job.jobId), job.modRevision),
            if (job.modRevision == 0L && mayBeArchived()) Compare(Keys.final(job.jobId), 0L) else null,
        )

    /** Attempts for which the record has no room are given up again before anything of them is sent. */
    private fun snapshot(job: Job): Snapshot? {
        while (true) {
            val fit = forms.fit(job)
            val intended = job.attempts.values.filter { it.state == AttemptState.INTENDED }
            if (intended.isNotEmpty() && (fit is RecordFit.TooLarge || forms.isFull(job))) {
                listener.recordFull(job, intended.takeLast(maxOf(1, intended.size / SHARE_GIVEN_UP)))
                continue
            }
            if (fit is RecordFit.Fits) return Snapshot(job, fit.write)
            log.warn("job {} does not fit in the state service with {} attempts", job.jobId, job.attempts.size)
            return null
        }
    }

    private fun applied(
        snapshot: Snapshot,
        revision: Long,
    ) {
        val job = snapshot.job
        job.modRevision = revision
        job.storedOverflow = snapshot.write.overflow
        job.storedCancelledTasksOverflow = snapshot.write.cancelledTasksOverflow
        job.durableVersion = snapshot.version
        job.durableState = if (snapshot.state == JobState.NEW) JobState.OPEN else snapshot.state
        // The tasks of a cancelled job stand where all nodes watch them for as long as its record has any: a cancellation
        // that is durable is also known to whoever has contact from then on, a process that starts later included.
        if (!snapshot.write.listsTasks) {
            job.publishedAt = null
        } else if (job.publishedAt ==
            null
        ) {
            job.publishedAt = nowMs()
        }
        if (job.state == JobState.NEW) job.transitionTo(JobState.OPEN)
        if (job.state != JobState.DROPPED) listener.recordWritten(job, snapshot.intended)
        settle(job, true)
    }

    /** Certainly nothing was carried out. A new job is then refused; any other is tried again later. */
    private suspend fun notWritten(
        job: Job,
        pause: Long,
    ): Boolean {
        if (job.modRevision == 0L && !job.mayHaveBeenCreated) {
            drop(job)
            return false
        }
        delay(pause)
        return true
    }

    /** The record is not the one last seen: an earlier write of ours was carried out after all, or, for a new job,
     * another node has accepted it. */
    private suspend fun reread(job: Job): Boolean {
        while (job.shard.isLedHere && job.state != JobState.DROPPED) {
            when (val read = lookup.read(job.jobId, Urgency.INTENT)) {
                is ReadResult.Unavailable -> delay(pauseMs)
                is ReadResult.Missing -> {
                    job.modRevision = 0L
                    return true
                }
                is ReadResult.Found -> {
                    val record = read.item.value
                    if (read.item.key == Keys.final(job.jobId)) {
                        log.info("job {} is over and was archived", job.jobId)
                        drop(job)
                        return false
                    }
                    if (JobRecord.shardOf(record) != job.shard.name ||
                        (job.modRevision == 0L && JobRecord.termOf(record) != job.shard.term)
                    ) {
                        log.info("job {} was accepted elsewhere", job.jobId)
                        drop(job)
                        return false
                    }
                    job.modRevision = read.item.modRevision
                    job.storedOverflow = maxOf(job.storedOverflow, RecordPacking.overflowCount(record))
                    return true
                }
            }
        }
        return false
    }

    private companion object {
        /** A value that is too large stays so until attempts have ended or the format is raised. */
        const val PAUSES_WHEN_TOO_LARGE = 4

        /** One in so many of the undurable attempts is given up at a time. */
        const val SHARE_GIVEN_UP = 4
    }
}
