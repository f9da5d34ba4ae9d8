package micatally.job

import kotlinx.serialization.json.JsonObject
import micatally.membership.Keys
import micatally.state.Delete
import micatally.state.Put
import micatally.state.StateLimits
import micatally.state.Write

/**
 * The writes of one transaction that store a job's record and, if the job is cancelled, the list of its cancelled tasks.
 *
 * @property overflow how many further values the record takes
 * @property cancelledTasksOverflow how many further values the list takes
 * @property listsTasks whether the transaction writes such a list
 */
class RecordWrite(
    val changes: List<Write>,
    val overflow: Int,
    val cancelledTasksOverflow: Int,
    val listsTasks: Boolean,
)

/** Whether a job's record, as the job is now, fits in the state service. */
sealed interface RecordFit {
    /** It does, by this write. */
    class Fits(
        val write: RecordWrite,
    ) : RecordFit

    /** It does not, in any form that may be written; the job must have fewer attempts. */
    data object TooLarge : RecordFit
}

/**
 * Chooses the form in which a job is stored: plain while it fits in one value, as every version reads it; compressed and
 * split beyond that, once all controllers understand this. Until then a record that an older program has made larger
 * stays plain, which the state service still takes.
 */
class RecordForms(
    val limits: StateLimits,
    private val mayPack: () -> Boolean,
) {
    /** Puts together what stores the job as it is now. */
    fun fit(job: Job): RecordFit {
        val record = JobRecordCodec.encode(job)
        val listsTasks = job.state == JobState.CANCELLED && job.attempts.isNotEmpty()
        val main = packIfTooLarge(record) { JobRecordCodec.summary(job, record) } ?: return RecordFit.TooLarge
        val cancelledTasks =
            if (listsTasks) {
                packIfTooLarge(CancelledTasksValue.encode(job.cancelledTasks())) { EMPTY } ?: return RecordFit.TooLarge
            } else {
                null
            }
        return RecordFit.Fits(write(job, main, cancelledTasks))
    }

    /** Whether new attempts have to wait: a plain record is kept within [limits] from now on, though a larger one is still taken. */
    fun isFull(job: Job): Boolean = !mayPack() && RecordPacking.size(JobRecordCodec.encode(job)) > limits.valueBytes

    private fun packIfTooLarge(
        value: JsonObject,
        plainFields: () -> JsonObject,
    ): PackedValue? =
        when {
            RecordPacking.size(value) <= limits.valueBytes || !mayPack() -> PackedValue(value, emptyList())
            else -> RecordPacking.pack(value, plainFields(), limits.valueBytes, limits.overflowValues)
        }

    private fun write(
        job: Job,
        main: PackedValue,
        cancelledTasks: PackedValue?,
    ): RecordWrite {
        val changes = ArrayList<Write>()
        changes += Put(Keys.job(job.jobId), main.main)
        changes += overflowChanges(main, job.storedOverflow) { Keys.jobPart(job.jobId, it) }
        if (cancelledTasks != null) {
            changes += Put(Keys.cancelledTasks(job.jobId), cancelledTasks.main)
            changes +=
                overflowChanges(
                    cancelledTasks,
                    job.storedCancelledTasksOverflow,
                ) { Keys.cancelledTasksPart(job.jobId, it) }
        } else if (job.publishedAt != null) {
            changes += Delete(Keys.cancelledTasks(job.jobId))
            changes += (0 until job.storedCancelledTasksOverflow).map { Delete(Keys.cancelledTasksPart(job.jobId, it)) }
        }
        return RecordWrite(changes, main.overflow.size, cancelledTasks?.overflow?.size ?: 0, cancelledTasks != null)
    }

    private fun overflowChanges(
        value: PackedValue,
        stored: Int,
        key: (Int) -> String,
    ): List<Write> {
        val puts = value.overflow.mapIndexed { index, part -> Put(key(index), part) }
        val deletes = (value.overflow.size until stored).map { Delete(key(it)) }
        return puts + deletes
    }

    private companion object {
        val EMPTY = JsonObject(emptyMap())
    }
}
