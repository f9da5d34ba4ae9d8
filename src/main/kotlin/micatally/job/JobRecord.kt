package micatally.job

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.wire.JobSpec
import micatally.wire.MalformedMessage
import micatally.wire.asLong
import micatally.wire.asText
import micatally.wire.child
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.longOrNull
import micatally.wire.numberOrNull
import micatally.wire.text
import java.util.BitSet

/** A job record as the state service holds it. */
object JobRecord {
    private const val OPEN = "o"
    private const val DONE = "d"
    private const val CANCELLED = "w"

    /** The tasks of a cancelled job that are not proven gone, as all nodes watch them. */
    fun encodeTasks(job: Job): JsonObject =
        CancelledTasksValue.of(
            JsonArray(
                job.attempts.values.map {
                    JsonArray(
                        listOf(JsonPrimitive(it.machine.name), JsonPrimitive(it.taskIndex), JsonPrimitive(it.number)),
                    )
                },
            ),
        )

    fun encode(job: Job): JsonObject =
        buildJsonObject {
            put("l", job.shard.name)
            put(
                "e",
                when (job.state) {
                    JobState.DONE -> DONE
                    JobState.CANCELLED -> CANCELLED
                    else -> OPEN
                },
            )
            put("k", job.taskCount)
            // Under which hold on the shard it was written: the record of a new job that is found there is this node's own only then.
            put("c", job.shard.term)
            val final = job.state == JobState.DONE || job.state == JobState.CANCELLED
            if (job.spec != null && !(final && job.attempts.isEmpty())) put("s", job.spec.source)
            if (job.doneCount > 0) put("d", ranges(job.done))
            if (final && job.attempts.isEmpty()) return@buildJsonObject
            // Cancelled, and the user may have been told: any node may say so.
            if (final && job.isCancellationConfirmable) put("x", 1)
            put("n", job.nextAttempt)
            put("t", job.submittedAt)
            if (job.service > 0) {
                put("v", Math.round(job.service))
                put("q", job.queue)
            }
            if (job.attempts.isNotEmpty()) {
                put(
                    "a",
                    buildJsonArray {
                        for ((place, list) in job.attempts.values.groupBy { it.machine to it.incarnation }) {
                            add(
                                buildJsonArray {
                                    val m = place.first
                                    add(JsonPrimitive(m.name))
                                    add(JsonPrimitive(place.second))
                                    add(JsonPrimitive(m.addr))
                                    add(JsonPrimitive(m.type))
                                    add(JsonPrimitive(m.zone))
                                    add(JsonPrimitive(if (m.spot) 1 else 0))
                                    for (a in list) {
                                        add(JsonPrimitive(a.taskIndex))
                                        add(JsonPrimitive(a.number))
                                    }
                                },
                            )
                        }
                    },
                )
            }
        }

    /** The fields of a compressed record that are read without the rest, with the counts that users are told. */
    fun summary(
        job: Job,
        plain: JsonObject,
    ): JsonObject =
        buildJsonObject {
            for (name in SUMMARY_FIELDS) plain[name]?.let { put(name, it) }
            put(COUNTS, JsonArray(listOf(JsonPrimitive(job.doneCount), JsonPrimitive(job.attempts.size))))
        }

    private val SUMMARY_FIELDS = listOf("l", "e", "k", "c", "x")
    private const val COUNTS = "m"

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

    /** A machine's description stands in each row, so that a new holder can ask it before it reports. */
    class Placed(
        val machine: String,
        val incarnation: Long,
        val addr: String,
        val type: String,
        val zone: String,
        val spot: Boolean,
        val taskIndex: Int,
        val number: Long,
    )

    fun shardOf(o: JsonObject) = o.text("l")

    /** Also of a record that can't be read otherwise; null if it names none. */
    fun shardOrNull(o: JsonObject) = (o["l"] as? JsonPrimitive)?.content

    fun termOf(o: JsonObject) = (o["c"])?.asText() ?: ""

    /** @throws MalformedMessage if the record is of a form that this program does not know */
    fun state(o: JsonObject) =
        when (val name = o.text("e")) {
            DONE -> JobState.DONE
            CANCELLED -> JobState.CANCELLED
            OPEN -> JobState.OPEN
            else -> throw MalformedMessage("a job's state can't be $name")
        }

    fun isSettled(o: JsonObject) = state(o) != JobState.OPEN && !mayHaveAttempts(o)

    private fun mayHaveAttempts(o: JsonObject) = o["a"] != null || RecordPacking.isPacked(o)

    /** Whether a user may hear of the end that the record has. */
    fun isCancellationConfirmable(o: JsonObject) =
        state(o) != JobState.CANCELLED || !mayHaveAttempts(o) || o["x"] != null

    fun placed(o: JsonObject): List<Placed> =
        (o.listOrNull("a") ?: emptyList()).flatMap { e ->
            val row = e as JsonArray
            (6 until row.size step 2).map {
                Placed(
                    row[0].asText(),
                    row[1].asLong(),
                    row[2].asText(),
                    row[3].asText(),
                    row[4].asText(),
                    row[5].asLong() == 1L,
                    row[it].asLong().toInt(),
                    row[it + 1].asLong(),
                )
            }
        }

    /** The job without its attempts, which need machines. */
    fun decode(
        jobId: String,
        o: JsonObject,
        shard: JobShard,
        modRevision: Long,
    ): Job {
        val spec = o.child("s")?.let { JobSpec.parse(it) }
        val state = state(o)
        val job = Job(jobId, spec, shard, o.long("k").toInt(), o.longOrNull("t") ?: 0L, state)
        val d = o.listOrNull("d") ?: emptyList()
        for (i in d.indices step 2) {
            for (taskIndex in d[i].asLong().toInt() until d[i + 1].asLong().toInt()) {
                job
                    .markDone(
                        taskIndex,
                    )
            }
        }
        job.nextAttempt = o.longOrNull("n") ?: 1L
        job.service = o.numberOrNull("v") ?: 0.0
        job.queue = (o.longOrNull("q") ?: 0L).toInt()
        job.modRevision = modRevision
        job.durableState = state
        job.isCancellationConfirmable = state == JobState.CANCELLED && isCancellationConfirmable(o)
        job.isConfirmableRecorded = job.isCancellationConfirmable
        return job
    }

    /** How many tasks the record has on machines. */
    fun attemptCount(o: JsonObject): Int = o.listOrNull(COUNTS)?.let { it[1].asLong().toInt() } ?: placed(o).size

    /** What the record alone can tell a user, when its owner can't be asked. */
    fun doneCount(o: JsonObject): Int {
        o.listOrNull(COUNTS)?.let { return it[0].asLong().toInt() }
        val d = o.listOrNull("d") ?: return 0
        return (d.indices step 2).sumOf { (d[it + 1].asLong() - d[it].asLong()).toInt() }
    }
}
