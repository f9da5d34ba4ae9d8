package micatally.job

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import micatally.wire.MalformedMessage
import micatally.wire.asLong
import micatally.wire.asText
import micatally.wire.listOrNull
import micatally.wire.text

/**
 * A job's record as it is stored, see [JobRecordCodec]. Each property decodes its fields when it is read, and throws
 * [MalformedMessage] if this program can't decode them. Only [shardOrNull] never throws.
 *
 * All properties can be read from a compressed record ([RecordPacking]), except [attempts]: these need the unpacked
 * record.
 */
@JvmInline
value class JobRecord(
    val json: JsonObject,
) {
    /** The name of the shard that the job belongs to. It never changes. */
    val shard: String get() = json.text(JobRecordField.SHARD)

    /**
     * The name of the job's shard, or null if the record names none. Also works for a record that can't be decoded
     * otherwise.
     */
    val shardOrNull: String? get() = (json[JobRecordField.SHARD] as? JsonPrimitive)?.content

    /**
     * The term of leadership in which the record was written ([JobShard.term]); empty if the record does not state it.
     */
    val term: String get() = json[JobRecordField.TERM]?.asText() ?: ""

    /** The stored state: [JobState.OPEN], [JobState.DONE] or [JobState.CANCELLED]. */
    val state: JobState
        get() =
            when (val name = json.text(JobRecordField.STATE)) {
                JobRecordCodec.DONE -> JobState.DONE
                JobRecordCodec.CANCELLED -> JobState.CANCELLED
                JobRecordCodec.OPEN -> JobState.OPEN
                else -> throw MalformedMessage("a job's state can't be $name")
            }

    /** Whether the job is over and has no attempts left. Such a record never changes any more. */
    val isSettled: Boolean get() = state != JobState.OPEN && !mayHaveAttempts

    /**
     * Whether a user may be told the state that the record shows. False only for a cancelled job that may have attempts
     * left and whose cancellation may not be confirmed yet, see [Cancellations.mayConfirm].
     */
    val isCancellationConfirmable: Boolean
        get() = state != JobState.CANCELLED || !mayHaveAttempts || json[JobRecordField.CONFIRMABLE] != null

    private val mayHaveAttempts get() = json[JobRecordField.ATTEMPTS] != null || RecordPacking.isPacked(json)

    /** The job's attempts. Needs the unpacked record. */
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

/** An attempt as stored in the record of its job. */
class StoredAttempt(
    val machine: StoredMachine,
    val taskIndex: Int,
    val number: Long,
)

/**
 * What a record states of an attempt's machine. It lets a new leader contact the machine before that has sent a
 * heartbeat.
 */
class StoredMachine(
    val name: String,
    val incarnation: Long,
    val addr: String,
    val type: String,
    val zone: String,
    val isSpot: Boolean,
)
