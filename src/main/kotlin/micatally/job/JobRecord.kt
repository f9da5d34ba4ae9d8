package micatally.job

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import micatally.wire.MalformedMessage
import micatally.wire.asLong
import micatally.wire.asText
import micatally.wire.listOrNull
import micatally.wire.text

/**
 * A job's record as it is stored, see [JobRecordCodec]. Fields are read when they are asked for; each property but
 * [shardOrNull] throws [MalformedMessage] if its field is not what this program knows.
 *
 * A compressed record ([RecordPacking]) has all properties but [attempts], which need its unpacked form.
 */
@JvmInline
value class JobRecord(
    val json: JsonObject,
) {
    /** The shard that the job belongs to for good. */
    val shard: String get() = json.text(JobRecordField.SHARD)

    /** As [shard], also of a record that can't be read otherwise; null if it names none. */
    val shardOrNull: String? get() = (json[JobRecordField.SHARD] as? JsonPrimitive)?.content

    /** The term of leadership in which the record was written ([JobShard.term]); empty in records without it. */
    val term: String get() = json[JobRecordField.TERM]?.asText() ?: ""

    val state: JobState
        get() =
            when (val name = json.text(JobRecordField.STATE)) {
                JobRecordCodec.DONE -> JobState.DONE
                JobRecordCodec.CANCELLED -> JobState.CANCELLED
                JobRecordCodec.OPEN -> JobState.OPEN
                else -> throw MalformedMessage("a job's state can't be $name")
            }

    /** Whether the job is over and has no attempts left, so that the record never changes any more. */
    val isSettled: Boolean get() = state != JobState.OPEN && !mayHaveAttempts

    /** Whether a user may be told of the end that the record states, see [Cancellations.mayConfirm]. */
    val isCancellationConfirmable: Boolean
        get() = state != JobState.CANCELLED || !mayHaveAttempts || json[JobRecordField.CONFIRMABLE] != null

    private val mayHaveAttempts get() = json[JobRecordField.ATTEMPTS] != null || RecordPacking.isPacked(json)

    val attempts: List<StoredAttempt> get() = JobRecordCodec.decodeAttempts(json)

    /** How many attempts the record has. */
    val attemptCount: Int
        get() = json.listOrNull(JobRecordField.COUNTS)?.let { it[1].asLong().toInt() } ?: attempts.size

    /** How many tasks are done. */
    val doneCount: Int
        get() {
            json.listOrNull(JobRecordField.COUNTS)?.let { return it[0].asLong().toInt() }
            val bounds = json.listOrNull(JobRecordField.DONE_RANGES) ?: return 0
            return (bounds.indices step 2).sumOf { (bounds[it + 1].asLong() - bounds[it].asLong()).toInt() }
        }
}

/** An attempt as the record of its job has it. */
class StoredAttempt(
    val machine: StoredMachine,
    val taskIndex: Int,
    val number: Long,
)

/** What the record says about an attempt's machine: enough for a new leader to contact it before it reports. */
class StoredMachine(
    val name: String,
    val incarnation: Long,
    val addr: String,
    val type: String,
    val zone: String,
    val isSpot: Boolean,
)
