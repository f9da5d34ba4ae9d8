package micatally.job

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.ledger.Keys
import micatally.ledger.Ledger
import micatally.state.Condition
import micatally.state.Delete
import micatally.state.Put
import micatally.state.ReadResult
import micatally.state.StateClient
import micatally.state.Txn
import micatally.state.TxnResult
import micatally.state.Urgency
import micatally.wire.JobSpec
import micatally.wire.asLong
import micatally.wire.asText
import micatally.wire.child
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.longOrNull
import micatally.wire.numberOrNull
import micatally.wire.text
import org.slf4j.LoggerFactory
import java.util.BitSet

/** A job record as the state service holds it. */
object JobRecord {
    private const val OPEN = "o"
    private const val DONE = "d"
    private const val WITHDRAWN = "w"

    /** The tasks of a withdrawn job that are not proven gone, as all nodes watch them. */
    fun encodeTasks(job: Job): JsonObject = buildJsonObject {
        put("tasks", buildJsonArray { for (a in job.attempts.values) add(JsonArray(listOf(JsonPrimitive(a.machine.name), JsonPrimitive(a.lap), JsonPrimitive(a.number)))) })
    }

    fun encode(job: Job): JsonObject = buildJsonObject {
        put("l", job.ledger.name)
        put("e", when (job.state) { JobState.DONE -> DONE; JobState.WITHDRAWN -> WITHDRAWN; else -> OPEN })
        put("k", job.laps)
        // Under which hold on the ledger it was written: the record of a new job that is found there is this node's own only then.
        put("c", job.ledger.hold)
        val final = job.state == JobState.DONE || job.state == JobState.WITHDRAWN
        if (job.spec != null && !(final && job.attempts.isEmpty())) put("s", job.spec.source)
        if (job.doneCount > 0) put("d", ranges(job.done))
        if (final && job.attempts.isEmpty()) return@buildJsonObject
        // Withdrawn, and the user may have been told: any node may say so.
        if (final && job.tellable) put("x", 1)
        put("n", job.nextAttempt)
        put("t", job.submittedAt)
        if (job.service > 0) { put("v", Math.round(job.service)); put("q", job.queue) }
        if (job.attempts.isNotEmpty()) put("a", buildJsonArray {
            for ((place, list) in job.attempts.values.groupBy { it.machine to it.session }) add(buildJsonArray {
                val m = place.first
                add(JsonPrimitive(m.name))
                add(JsonPrimitive(place.second))
                add(JsonPrimitive(m.addr))
                add(JsonPrimitive(m.type))
                add(JsonPrimitive(m.zone))
                add(JsonPrimitive(if (m.spot) 1 else 0))
                for (a in list) { add(JsonPrimitive(a.lap)); add(JsonPrimitive(a.number)) }
            })
        })
    }

    private fun ranges(bits: BitSet): JsonArray = buildJsonArray {
        var from = bits.nextSetBit(0)
        while (from >= 0) {
            val to = bits.nextClearBit(from)
            add(JsonPrimitive(from))
            add(JsonPrimitive(to))
            from = bits.nextSetBit(to)
        }
    }

    /** A machine's description stands in each row, so that a new holder can ask it before it reports. */
    class Placed(val machine: String, val session: Long, val addr: String, val type: String, val zone: String, val spot: Boolean, val lap: Int, val number: Long)

    fun ledgerOf(o: JsonObject) = o.text("l")
    fun holdOf(o: JsonObject) = (o["c"])?.asText() ?: ""
    fun state(o: JsonObject) = when (o.text("e")) { DONE -> JobState.DONE; WITHDRAWN -> JobState.WITHDRAWN; else -> JobState.OPEN }
    fun isSettled(o: JsonObject) = state(o) != JobState.OPEN && o["a"] == null

    /** Whether a user may hear of the end that the record has. */
    fun isTellable(o: JsonObject) = state(o) != JobState.WITHDRAWN || o["a"] == null || o["x"] != null

    fun placed(o: JsonObject): List<Placed> = (o.listOrNull("a") ?: emptyList()).flatMap { e ->
        val row = e as JsonArray
        (6 until row.size step 2).map {
            Placed(row[0].asText(), row[1].asLong(), row[2].asText(), row[3].asText(), row[4].asText(), row[5].asLong() == 1L, row[it].asLong().toInt(), row[it + 1].asLong())
        }
    }

    /** The job without its attempts, which need machines. */
    fun decode(ref: String, o: JsonObject, ledger: Ledger, mark: Long): Job {
        val spec = o.child("s")?.let { JobSpec.parse(it) }
        val state = state(o)
        val job = Job(ref, spec, ledger, o.long("k").toInt(), o.longOrNull("t") ?: 0L, state)
        val d = o.listOrNull("d") ?: emptyList()
        for (i in d.indices step 2) for (lap in d[i].asLong().toInt() until d[i + 1].asLong().toInt()) job.markDone(lap)
        job.nextAttempt = o.longOrNull("n") ?: 1L
        job.service = o.numberOrNull("v") ?: 0.0
        job.queue = (o.longOrNull("q") ?: 0L).toInt()
        job.mark = mark
        job.durableState = state
        job.tellable = state == JobState.WITHDRAWN && isTellable(o)
        job.tellableRecorded = job.tellable
        return job
    }

    /** What the record alone can tell a user, when its owner can't be asked. */
    fun doneCount(o: JsonObject): Int {
        val d = o.listOrNull("d") ?: return 0
        return (d.indices step 2).sumOf { (d[it + 1].asLong() - d[it].asLong()).toInt() }
    }
}

/** Writes job records. A record is always written whole, on the condition that the ledger is still this node's and
 * that the record is the one last seen: a write whose answer was lost and which comes late then changes nothing. */
class JobStore(
    private val scope: CoroutineScope, private val state: StateClient, private val pauseMs: Long, private val countsMs: Long,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.job")
    var onDurable: (Job, List<Attempt>) -> Unit = { _, _ -> }
    var onLedgerLost: (Ledger) -> Unit = {}
    /** A job of a ledger that is still this node's turned out not to be its own, or was never stored. */
    var onDropped: (Job) -> Unit = {}

    /** Asks for a write. Intents, ends and new jobs are [urgent]; counts of finished tasks may wait a little. */
    fun touch(job: Job, urgent: Boolean) {
        job.version++
        if (job.writing) return
        if (!urgent) {
            if (job.dirtySoon) return
            job.dirtySoon = true
            scope.launch { delay(countsMs); job.dirtySoon = false; if (!job.writing && job.durableVersion < job.version) write(job) }
            return
        }
        write(job)
    }

    /** Waits until the job's present version is durable; false if the job is not this node's any more, or was refused
     * before any write of it can have been carried out. */
    suspend fun durable(job: Job): Boolean {
        if (job.state == JobState.DROPPED) return false
        if (job.durableVersion >= job.version) return true
        val d = CompletableDeferred<Boolean>()
        job.waiters.add(job.version to d)
        return d.await()
    }

    private fun settle(job: Job, ok: Boolean) {
        val each = job.waiters.iterator()
        while (each.hasNext()) {
            val (version, d) = each.next()
            if (!ok || version <= job.durableVersion) { each.remove(); d.complete(ok) }
        }
    }

    fun drop(job: Job) {
        job.become(JobState.DROPPED)
        settle(job, false)
        if (job.ledger.mine) onDropped(job)
    }

    private fun write(job: Job) {
        job.writing = true
        scope.launch {
            try { writeLoop(job) } finally { job.writing = false }
        }
    }

    private suspend fun writeLoop(job: Job) {
        while (job.state != JobState.DROPPED && job.ledger.mine && job.durableVersion < job.version) {
            var version = 0L
            var written = emptyList<Attempt>()
            var as_ = job.state
            val urgency = if (job.mark == 0L || job.durableState != job.state) Urgency.ACCEPTANCE else Urgency.INTENT
            var tasksListed = false
            val r = state.txn(if (job.state == JobState.WITHDRAWN) 2 else 1, urgency) {
                if (job.state == JobState.DROPPED || !job.ledger.mine) return@txn null
                version = job.version
                as_ = job.state
                written = job.attempts.values.filter { it.state == AttemptState.INTENDED }
                // The tasks of a withdrawn job stand where all nodes watch them for as long as its record has any: a cancellation
                // that is durable is also known to whoever has contact from then on, a process that starts later included.
                tasksListed = job.state == JobState.WITHDRAWN && job.attempts.isNotEmpty()
                val tasks = when {
                    tasksListed -> Put(Keys.kill(job.ref), JobRecord.encodeTasks(job))
                    job.publishedAt != null -> Delete(Keys.kill(job.ref))
                    else -> null
                }
                Txn(
                    listOf(Condition(Keys.ledger(job.ledger.name), job.ledger.holder.mark), Condition(Keys.job(job.ref), job.mark)),
                    listOfNotNull(Put(Keys.job(job.ref), JobRecord.encode(job)), tasks),
                )
            }
            when (r) {
                is TxnResult.Applied -> {
                    job.mark = r.revision
                    job.durableVersion = version
                    job.durableState = if (as_ == JobState.NEW) JobState.OPEN else as_
                    if (!tasksListed) job.publishedAt = null else if (job.publishedAt == null) job.publishedAt = nowMs()
                    if (job.state == JobState.NEW) job.become(JobState.OPEN)
                    if (job.state != JobState.DROPPED) onDurable(job, written)
                    settle(job, true)
                }
                is TxnResult.Failed -> {
                    if (Keys.ledger(job.ledger.name) in r.keys) { onLedgerLost(job.ledger); return }
                    if (!reread(job)) return
                }
                is TxnResult.Unknown -> { if (job.mark == 0L) job.maybeCreated = true; delay(pauseMs) }
                else -> {
                    if (job.mark == 0L && !job.maybeCreated) { drop(job); return }
                    delay(pauseMs)
                }
            }
        }
    }

    /** The record is not the one last seen: an earlier write of ours was carried out after all, or, for a new job,
     * another node has accepted it. */
    private suspend fun reread(job: Job): Boolean {
        while (job.ledger.mine && job.state != JobState.DROPPED) {
            when (val read = state.get(Keys.job(job.ref), Urgency.INTENT)) {
                is ReadResult.Unavailable -> delay(pauseMs)
                is ReadResult.Missing -> { job.mark = 0L; return true }
                is ReadResult.Found -> {
                    val o = read.item.value
                    if (JobRecord.ledgerOf(o) != job.ledger.name || (job.mark == 0L && JobRecord.holdOf(o) != job.ledger.hold)) {
                        log.info("job {} was accepted elsewhere", job.ref)
                        drop(job)
                        return false
                    }
                    job.mark = read.item.mark
                    return true
                }
            }
        }
        return false
    }
}
