package micatally.job

import kotlinx.serialization.json.JsonObject
import micatally.membership.Keys
import micatally.state.Delete
import micatally.state.Put
import micatally.state.StateLimits
import micatally.state.Write

/**
 * The writes of one transaction that stores a job's record and, if the job is cancelled, the list of its cancelled
 * tasks.
 *
 * @property overflow how many overflow values the record takes
 * @property cancelledTasksOverflow how many overflow values the list takes
 * @property listsTasks whether the transaction writes such a list
 */
class RecordWrite(
    val changes: List<Write>,
    val overflow: Int,
    val cancelledTasksOverflow: Int,
    val listsTasks: Boolean,
)

/** Whether the record of a job as it is now fits in the state store. */
sealed interface RecordFit {
    /** It fits, and [write] stores it. */
    class Fits(
        val write: RecordWrite,
    ) : RecordFit

    /** It does not fit in any form that may be written. The job has to have fewer attempts. */
    data object TooLarge : RecordFit
}

/**
 * Chooses the form in which a job is stored. A record that fits in one value is stored uncompressed, which every
 * version of the program can read. A larger one is compressed, and split if need be, once all controllers can read that
 * form. Until then it stays uncompressed: the state store still accepts a record that an older program has let grow
 * beyond [limits].
 *
 * @property mayPack whether all controllers can read compressed records
 */
class RecordForms(
    val limits: StateLimits,
    private val mayPack: () -> Boolean,
) {
    /** Puts together the writes that store the job as it is now. */
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

    /**
     * Whether the job must not get new attempts, because its record is larger than [limits] allow and may not be
     * compressed. Such a record is still written ([fit]), but must not grow further.
     */
    fun isFull(job: Job): Boolean = !mayPack() && RecordPacking.size(JobRecordCodec.encode(job)) > limits.valueBytes

    /** Returns null if [value] does not fit even in compressed form. */
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

    /** Writes the overflow values of [value], and deletes those of the [stored] ones that are no longer needed. */
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
