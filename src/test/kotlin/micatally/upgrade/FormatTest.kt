package micatally.upgrade

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.CancelledTasksValue
import micatally.job.Job
import micatally.job.JobRecord
import micatally.job.JobRecordCodec
import micatally.job.JobShard
import micatally.job.ShardState
import micatally.membership.Keys
import micatally.membership.ShardLeader
import micatally.membership.SharedKeyCache
import micatally.state.KeyValue
import micatally.state.Listing
import micatally.wire.CancelledTaskList
import micatally.wire.CapacitySummary
import micatally.wire.HeartbeatAcknowledgements
import micatally.wire.PeerDelta
import micatally.wire.PeerDeltaResponse
import micatally.wire.PeerJobRequest
import micatally.wire.PeerJobResponse
import micatally.worker.Machine
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Base64

/** What the previous program stored and sent, kept in `format-1.json`, is read and written by this one byte for byte. */
@OptIn(ExperimentalSerializationApi::class)
class FormatTest {
    private val samples = Json.parseToJsonElement(javaClass.getResource("/format-1.json")!!.readText()) as JsonObject
    private val states = listOf("under cancellation", "a lease later").map { samples.getValue(it) as JsonObject }

    private fun under(prefix: String) =
        states.flatMap { state ->
            state.filterKeys { it.startsWith(prefix) }.map { (key, value) -> key to value as JsonObject }
        }

    private fun shardOf(record: JsonObject): JobShard {
        val (process, fencingToken) = JobRecord(record).term.split(':')
        val name = JobRecord(record).shard
        return JobShard(
            name,
            ShardLeader(name, process, fencingToken.toLong(), 1),
        ).also { it.transitionTo(ShardState.ACTIVE) }
    }

    private fun decoded(
        key: String,
        record: JsonObject,
    ): Job {
        val job = JobRecordCodec.decode(key.removePrefix(Keys.JOB), JobRecord(record), shardOf(record), 1)
        val machines = HashMap<String, Machine>()
        for (placed in JobRecord(record).attempts) {
            val machine =
                placed.machine.let { described ->
                    machines.getOrPut(described.name) {
                        Machine(described.name, described.addr, described.type, described.zone, described.isSpot)
                    }
                }
            job.attempts[placed.taskIndex] =
                Attempt(
                    job,
                    placed.taskIndex,
                    placed.number,
                    machine,
                    placed.machine.incarnation,
                    job.service,
                    AttemptState.DISPATCHED,
                )
        }
        return job
    }

    @Test
    fun `job records of the previous program are read and written unchanged`() {
        val records = under(Keys.JOB)
        assertEquals(12, records.size)
        for ((key, record) in records) assertEquals(record, JobRecordCodec.encode(decoded(key, record)), key)
    }

    @Test
    fun `the previous program reads the same out of a record that this one wrote`() {
        for ((key, record) in under(Keys.JOB)) {
            val job = decoded(key, record)
            val former = FormerRecord(JobRecordCodec.encode(job))
            assertEquals(
                job.attempts.values
                    .map {
                        listOf<Any>(it.machine.name, it.incarnation, it.taskIndex, it.number)
                    }.toSet(),
                former.attempts.toSet(),
                key,
            )
            assertEquals((0 until job.taskCount).filter { job.done[it] }, former.done, key)
            assertEquals(
                JobRecord(record).isSettled to JobRecord(record).isCancellationConfirmable,
                former.isSettled to former.isCancellationConfirmable,
                key,
            )
            assertEquals(
                listOf(job.shard.name, job.taskCount, job.shard.term),
                listOf(former.shard, former.tasks, former.term),
                key,
            )
        }
    }

    @Test
    fun `lists of cancelled tasks of the previous program are read and written unchanged`() {
        val (key, list) = under(Keys.CANCELLED_TASKS).single()
        val job =
            decoded(
                Keys.JOB + key.removePrefix(Keys.CANCELLED_TASKS),
                states[0].getValue(Keys.JOB + key.removePrefix(Keys.CANCELLED_TASKS)) as JsonObject,
            )
        assertEquals(list, CancelledTasksValue.encode(job.cancelledTasks()))
        assertEquals(
            job.attempts.values.map { listOf<Any>(it.machine.name, it.taskIndex, it.number) },
            formerCancelledTasks(list),
        )
    }

    @Test
    fun `messages between controllers keep their bytes`() {
        val messages = samples.getValue("messages") as JsonObject

        fun bytes(name: String) = Base64.getDecoder().decode((messages.getValue(name) as JsonPrimitive).content)
        assertArrayEquals(
            bytes("PeerNews"),
            ProtoBuf.encodeToByteArray(ProtoBuf.decodeFromByteArray<PeerDelta>(bytes("PeerNews"))),
        )
        assertArrayEquals(
            bytes("NewsAnswer"),
            ProtoBuf.encodeToByteArray(ProtoBuf.decodeFromByteArray<PeerDeltaResponse>(bytes("NewsAnswer"))),
        )
        assertArrayEquals(
            bytes("KillList"),
            ProtoBuf.encodeToByteArray(ProtoBuf.decodeFromByteArray<CancelledTaskList>(bytes("KillList"))),
        )
        assertArrayEquals(
            bytes("HeardList"),
            ProtoBuf.encodeToByteArray(ProtoBuf.decodeFromByteArray<HeartbeatAcknowledgements>(bytes("HeardList"))),
        )
        assertArrayEquals(
            bytes("PeerAsk"),
            ProtoBuf.encodeToByteArray(ProtoBuf.decodeFromByteArray<PeerJobRequest>(bytes("PeerAsk"))),
        )
        assertArrayEquals(
            bytes("PeerAnswer"),
            ProtoBuf.encodeToByteArray(ProtoBuf.decodeFromByteArray<PeerJobResponse>(bytes("PeerAnswer"))),
        )
        for ((key, value) in under(Keys.CAPACITY)) {
            val room = Base64.getDecoder().decode((value.getValue("b") as JsonPrimitive).content)
            assertArrayEquals(
                room,
                ProtoBuf.encodeToByteArray(ProtoBuf.decodeFromByteArray<CapacitySummary>(room)),
                key,
            )
        }
    }

    private fun sharedKeys(vararg values: Pair<String, String>) =
        SharedKeyCache().also { cache ->
            val items =
                values.mapIndexed { index, (key, json) ->
                    KeyValue(key, Json.parseToJsonElement(json) as JsonObject, index + 1L)
                }
            cache.load(Listing(items, 100))
        }

    /** The state of the previous program holds no announcement, so nothing of a later format is written. */
    @Test
    fun `the shared keys of the previous program say that the fleet is mixed`() {
        val cache = SharedKeyCache()
        cache.load(
            Listing(
                states[0].filterKeys { it.startsWith(Keys.PREFIX) }.map { (key, value) ->
                    KeyValue(key, value as JsonObject, 1)
                },
                5,
            ),
        )
        assertEquals(UpgradePhase.MIXED, UpgradePlan.phase(cache))
        assertEquals(
            UpgradeStep.WaitFor(listOf("pitbox-0")),
            UpgradePlan.nextStep(cache, "pitbox-0", listOf("pitbox-0", "pitbox-1")),
        )
        assertEquals(3L, cache.fencingToken)
        assertEquals(listOf("pitbox-0", "pitbox-1", "pitbox-2"), cache.shards().sorted())
    }

    @Test
    fun `the format is raised once every host has announced it, and never before`() {
        val hosts = listOf("n0", "n1", "n2")
        val live = "c/live/n0" to "{\"process\":\"p\",\"format\":2}"
        assertEquals(UpgradeStep.Announce, UpgradePlan.nextStep(sharedKeys(live), "n0", hosts))
        // Found on a rollout: announced while the live key was the former process's, it looked like a downgrade.
        assertEquals(
            UpgradeStep.WaitFor(listOf("n0")),
            UpgradePlan.nextStep(sharedKeys("c/live/n0" to "{\"process\":\"old\"}"), "n0", hosts),
        )
        val two = arrayOf("c/version/n0" to "{\"n\":2}", "c/version/n1" to "{\"n\":2}")
        assertEquals(UpgradeStep.WaitFor(listOf("n2")), UpgradePlan.nextStep(sharedKeys(*two), "n0", hosts))
        val three = two + ("c/version/n2" to "{\"n\":2}")
        assertEquals(UpgradeStep.Raise, UpgradePlan.nextStep(sharedKeys(*three), "n0", hosts))
        val raised = three + ("c/format" to "{\"n\":2}")
        assertEquals(UpgradeStep.Finished, UpgradePlan.nextStep(sharedKeys(*raised), "n0", hosts))
        assertEquals(UpgradePhase.UNIFORM, UpgradePlan.phase(sharedKeys(*raised)))
    }

    @Test
    fun `a host that returns with an older version than it had announced is named`() {
        val cache =
            sharedKeys(
                "c/version/n0" to "{\"n\":2}",
                "c/live/n0" to "{\"process\":\"p\"}",
                "c/live/n1" to "{\"process\":\"q\"}",
            )
        assertEquals(listOf("n0"), UpgradePlan.downgraded(cache, listOf("n0", "n1")))
        assertTrue(
            UpgradePlan
                .downgraded(
                    sharedKeys(
                        "c/version/n0" to "{\"n\":2}",
                        "c/live/n0" to "{\"process\":\"p\",\"format\":2}",
                    ),
                    listOf("n0"),
                ).isEmpty(),
        )
    }
}
