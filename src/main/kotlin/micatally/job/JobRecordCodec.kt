package micatally.job

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.wire.JobSpec
import micatally.wire.asLong
import micatally.wire.asText
import micatally.wire.child
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.longOrNull
import micatally.wire.numberOrNull
import micatally.worker.Machine
import java.util.BitSet

/** The names of a record's fields, and what they hold. */
internal object JobRecordField {
    const val SHARD = "l"
    const val STATE = "e"
    const val TASK_COUNT = "k"

    /** The term of leadership in which the record was written, see [JobShard.term]. */
    const val TERM = "c"

    /** The submission as the user sent it. Missing if the job is over and has no attempts left. */
    const val SPEC = "s"

    /** The indices of the done tasks as bounds of ranges: the first index of a range, then the one after its last. */
    const val DONE_RANGES = "d"

    /** 1 if the job is cancelled, has attempts left, and its user may be told so all the same; missing otherwise. */
    const val CONFIRMABLE = "x"
    const val NEXT_ATTEMPT = "n"

    /** In ms of the wall clock. */
    const val SUBMITTED_AT = "t"

    /** The job's attained service, rounded to seconds. */
    const val SERVICE = "v"
    const val QUEUE = "q"

    /** One row for each machine and incarnation, with all attempts there. */
    const val ATTEMPTS = "a"

    /** Only in a compressed record: the number of done tasks, then the number of attempts. */
    const val COUNTS = "m"

    /** The fields of a record that are also stored uncompressed beside the compressed form. */
    val SUMMARY = listOf(SHARD, STATE, TASK_COUNT, TERM, CONFIRMABLE)
}

/** Encodes a job as its stored record, and decodes it. */
object JobRecordCodec {
    internal const val OPEN = "o"
    internal const val DONE = "d"
    internal const val CANCELLED = "w"

    // Indices of a row of attempts. The machine comes first, then task index and number of each attempt in turn.
    private const val MACHINE_NAME = 0
    private const val INCARNATION = 1
    private const val ADDRESS = 2
    private const val TYPE = 3
    private const val ZONE = 4
    private const val IS_SPOT = 5
    private const val FIRST_ATTEMPT = 6

    /** The uncompressed record of the job as it is now. [RecordForms] decides in which form it is stored. */
    fun encode(job: Job): JsonObject =
        buildJsonObject {
            put(JobRecordField.SHARD, job.shard.name)
            put(JobRecordField.STATE, stateName(job.state))
            put(JobRecordField.TASK_COUNT, job.taskCount)
            put(JobRecordField.TERM, job.shard.term)
            val isOver = job.state == JobState.DONE || job.state == JobState.CANCELLED
            val isSettled = isOver && job.attempts.isEmpty()
            if (job.spec != null && !isSettled) put(JobRecordField.SPEC, job.spec.source)
            if (job.doneCount > 0) put(JobRecordField.DONE_RANGES, ranges(job.done))
            if (isSettled) return@buildJsonObject
            if (isOver && job.isCancellationConfirmable) put(JobRecordField.CONFIRMABLE, 1)
            put(JobRecordField.NEXT_ATTEMPT, job.nextAttempt)
            put(JobRecordField.SUBMITTED_AT, job.submittedAt)
            if (job.attainedServiceS > 0) {
                put(JobRecordField.SERVICE, Math.round(job.attainedServiceS))
                put(JobRecordField.QUEUE, job.queue)
            }
            if (job.attempts.isNotEmpty()) put(JobRecordField.ATTEMPTS, attemptRows(job))
        }

    private fun stateName(state: JobState) =
        when (state) {
            JobState.DONE -> DONE
            JobState.CANCELLED -> CANCELLED
            else -> OPEN
        }

    private fun attemptRows(job: Job): JsonArray {
        val byMachine = job.attempts.values.groupBy { it.machine to it.incarnation }
        return JsonArray(
            byMachine.map { (place, attempts) ->
                val (machine, incarnation) = place
                attemptRow(machine, incarnation, attempts)
            },
        )
    }

    private fun attemptRow(
        machine: Machine,
        incarnation: Long,
        attempts: List<Attempt>,
    ): JsonArray =
        buildJsonArray {
            add(JsonPrimitive(machine.name))
            add(JsonPrimitive(incarnation))
            add(JsonPrimitive(machine.addr))
            add(JsonPrimitive(machine.type))
            add(JsonPrimitive(machine.zone))
            add(JsonPrimitive(if (machine.isSpot) 1 else 0))
            for (attempt in attempts) {
                add(JsonPrimitive(attempt.taskIndex))
                add(JsonPrimitive(attempt.number))
            }
        }

    /**
     * The fields that are stored uncompressed beside the compressed [record], with the counts from which users are
     * answered.
     */
    fun summary(
        job: Job,
        record: JsonObject,
    ): JsonObject =
        buildJsonObject {
            for (name in JobRecordField.SUMMARY) record[name]?.let { put(name, it) }
            put(
                JobRecordField.COUNTS,
                JsonArray(listOf(JsonPrimitive(job.doneCount), JsonPrimitive(job.attempts.size))),
            )
        }

    /** The set bits as bounds of ranges: the first bit of a range, then the one after its last. */
    private fun ranges(bits: BitSet): JsonArray =
        buildJsonArray {
            var from = bits.nextSetBit(0)
            while (from >= 0) {
                val to = bits.nextClearBit(from)
                add(JsonPrimitive(from))
                add(JsonPrimitive(to))
                from = bits.nextSetBit(to)
            }
        }

    /**
     * Decodes the job of an unpacked record, without its attempts: these refer to machines, which [JobAdoption] looks
     * up.
     *
     * @throws micatally.wire.MalformedMessage if this program can't decode the record
     */
    fun decode(
        jobId: String,
        record: JobRecord,
        shard: JobShard,
        modRevision: Long,
    ): Job {
        val json = record.json
        val spec = json.child(JobRecordField.SPEC)?.let { JobSpec.parse(it) }
        val state = record.state
        val taskCount = json.long(JobRecordField.TASK_COUNT).toInt()
        val job = Job(jobId, spec, shard, taskCount, json.longOrNull(JobRecordField.SUBMITTED_AT) ?: 0L, state)
        markDone(job, json.listOrNull(JobRecordField.DONE_RANGES) ?: emptyList())
        job.nextAttempt = json.longOrNull(JobRecordField.NEXT_ATTEMPT) ?: 1L
        job.attainedServiceS = json.numberOrNull(JobRecordField.SERVICE) ?: 0.0
        job.queue = (json.longOrNull(JobRecordField.QUEUE) ?: 0L).toInt()
        job.modRevision = modRevision
        job.durableState = state
        job.isCancellationConfirmable = state == JobState.CANCELLED && record.isCancellationConfirmable
        job.isConfirmableRecorded = job.isCancellationConfirmable
        return job
    }

    private fun markDone(
        job: Job,
        bounds: List<JsonElement>,
    ) {
        for (index in bounds.indices step 2) {
            val tasks = bounds[index].asLong().toInt() until bounds[index + 1].asLong().toInt()
            for (taskIndex in tasks) job.markDone(taskIndex)
        }
    }

    internal fun decodeAttempts(record: JsonObject): List<StoredAttempt> =
        (record.listOrNull(JobRecordField.ATTEMPTS) ?: emptyList()).flatMap { decodeRow(it as JsonArray) }

    private fun decodeRow(row: JsonArray): List<StoredAttempt> {
        val attempts = FIRST_ATTEMPT until row.size step 2
        if (attempts.isEmpty()) return emptyList()
        val machine =
            StoredMachine(
                row[MACHINE_NAME].asText(),
                row[INCARNATION].asLong(),
                row[ADDRESS].asText(),
                row[TYPE].asText(),
                row[ZONE].asText(),
                row[IS_SPOT].asLong() == 1L,
            )
        return attempts.map { StoredAttempt(machine, row[it].asLong().toInt(), row[it + 1].asLong()) }
    }
}
