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

/**
 * Compatibility with programs that know only [FormatVersion.FIRST]. The resource `format-1.json` holds values that such
 * a program stored and messages that it sent. This program must read them and write them back byte for byte. Otherwise
 * controllers of both programs could not work together during an upgrade.
 */
@OptIn(ExperimentalSerializationApi::class)
class FormatTest {
    private val samples = Json.parseToJsonElement(javaClass.getResource("/format-1.json")!!.readText()) as JsonObject
    private val storedStates = listOf("under cancellation", "a lease later").map { samples.getValue(it) as JsonObject }

    private fun storedUnder(prefix: String) =
        storedStates.flatMap { state ->
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

    private fun decodeJob(
        key: String,
        record: JsonObject,
    ): Job {
        val job = JobRecordCodec.decode(key.removePrefix(Keys.JOB), JobRecord(record), shardOf(record), 1)
        val machines = HashMap<String, Machine>()
        for (storedAttempt in JobRecord(record).attempts) {
            val machine =
                storedAttempt.machine.let { stored ->
                    machines.getOrPut(stored.name) {
                        Machine(stored.name, stored.addr, stored.type, stored.zone, stored.isSpot)
                    }
                }
            job.attempts[storedAttempt.taskIndex] =
                Attempt(
                    job,
                    storedAttempt.taskIndex,
                    storedAttempt.number,
                    machine,
                    storedAttempt.machine.incarnation,
                    job.attainedServiceS,
                    AttemptState.DISPATCHED,
                )
        }
        return job
    }

    @Test
    fun `job records of format 1 are read and written unchanged`() {
        val records = storedUnder(Keys.JOB)
        assertEquals(12, records.size)
        for ((key, record) in records) assertEquals(record, JobRecordCodec.encode(decodeJob(key, record)), key)
    }

    @Test
    fun `a program of format 1 reads the same from a record that this program wrote`() {
        for ((key, record) in storedUnder(Keys.JOB)) {
            val job = decodeJob(key, record)
            val format1Record = Format1Record(JobRecordCodec.encode(job))
            assertEquals(
                job.attempts.values
                    .map {
                        listOf<Any>(it.machine.name, it.incarnation, it.taskIndex, it.number)
                    }.toSet(),
                format1Record.attempts.toSet(),
                key,
            )
            assertEquals((0 until job.taskCount).filter { job.done[it] }, format1Record.done, key)
            assertEquals(
                JobRecord(record).isSettled to JobRecord(record).isCancellationConfirmable,
                format1Record.isSettled to format1Record.isCancellationConfirmable,
                key,
            )
            assertEquals(
                listOf(job.shard.name, job.taskCount, job.shard.term),
                listOf(format1Record.shard, format1Record.tasks, format1Record.term),
                key,
            )
        }
    }

    @Test
    fun `lists of cancelled tasks of format 1 are read and written unchanged`() {
        val (key, list) = storedUnder(Keys.CANCELLED_TASKS).single()
        val job =
            decodeJob(
                Keys.JOB + key.removePrefix(Keys.CANCELLED_TASKS),
                storedStates[0].getValue(Keys.JOB + key.removePrefix(Keys.CANCELLED_TASKS)) as JsonObject,
            )
        assertEquals(list, CancelledTasksValue.encode(job.cancelledTasks()))
        assertEquals(
            job.attempts.values.map { listOf<Any>(it.machine.name, it.taskIndex, it.number) },
            decodeFormat1CancelledTasks(list),
        )
    }

    @Test
    fun `messages between controllers are encoded to the same bytes as in format 1`() {
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
        for ((key, value) in storedUnder(Keys.CAPACITY)) {
            val encodedSummary = Base64.getDecoder().decode((value.getValue("b") as JsonPrimitive).content)
            assertArrayEquals(
                encodedSummary,
                ProtoBuf.encodeToByteArray(ProtoBuf.decodeFromByteArray<CapacitySummary>(encodedSummary)),
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

    /** A program of format 1 stores no announcements, so the fleet counts as mixed and no later format is written. */
    @Test
    fun `shared keys of format 1 count as a mixed fleet`() {
        val cache = SharedKeyCache()
        cache.load(
            Listing(
                storedStates[0].filterKeys { it.startsWith(Keys.PREFIX) }.map { (key, value) ->
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
    fun `the format is raised when every host has announced it, and not before`() {
        val hosts = listOf("n0", "n1", "n2")
        val live = "c/live/n0" to "{\"process\":\"p\",\"format\":2}"
        assertEquals(UpgradeStep.Announce, UpgradePlan.nextStep(sharedKeys(live), "n0", hosts))
        // Nothing is announced while the live key is still the previous process's: the host would look downgraded.
        assertEquals(
            UpgradeStep.WaitFor(listOf("n0")),
            UpgradePlan.nextStep(sharedKeys("c/live/n0" to "{\"process\":\"old\"}"), "n0", hosts),
        )
        val announcedByTwo = arrayOf("c/version/n0" to "{\"n\":2}", "c/version/n1" to "{\"n\":2}")
        assertEquals(UpgradeStep.WaitFor(listOf("n2")), UpgradePlan.nextStep(sharedKeys(*announcedByTwo), "n0", hosts))
        val announcedByThree = announcedByTwo + ("c/version/n2" to "{\"n\":2}")
        assertEquals(UpgradeStep.Raise, UpgradePlan.nextStep(sharedKeys(*announcedByThree), "n0", hosts))
        val raised = announcedByThree + ("c/format" to "{\"n\":2}")
        assertEquals(UpgradeStep.Finished, UpgradePlan.nextStep(sharedKeys(*raised), "n0", hosts))
        assertEquals(UpgradePhase.UNIFORM, UpgradePlan.phase(sharedKeys(*raised)))
    }

    @Test
    fun `a host that runs an older version than it has announced is reported as downgraded`() {
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
