package micatally.compatibility

import kotlinx.coroutines.test.runTest
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.archive.ArchivePlan
import micatally.config.ChangeCodec
import micatally.config.Configuration
import micatally.emulator.StateStoreEmulator
import micatally.fleet.ProvisioningRequest
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.Outcome
import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.CancelledTasksValue
import micatally.job.Job
import micatally.job.JobRecord
import micatally.job.JobRecordCodec
import micatally.job.JobShard
import micatally.job.JobState
import micatally.job.ShardState
import micatally.membership.Keys
import micatally.membership.ShardLeader
import micatally.membership.SharedKeyCache
import micatally.peer.SummaryPartitions
import micatally.quota.TeamAllotments
import micatally.state.KeyValue
import micatally.state.Listing
import micatally.state.RateBudget
import micatally.state.StateStoreClient
import micatally.upgrade.UpgradePlan
import micatally.wire.CapacitySummary
import micatally.wire.HeartbeatAcknowledgements
import micatally.wire.MachineType
import micatally.wire.parseObject
import micatally.wire.text
import micatally.worker.Machine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Base64

/**
 * Guards against changes of the values in the state store, which other versions of the program read too.
 *
 * The resources under `stored/` hold values that the program wrote, one file for each kind (see [StoredKind]). Each
 * line is a key, a blank and the value. The production code must decode these values and encode them to the same bytes
 * again, and a simulated run must store the same bytes as when the resources were made.
 */
@OptIn(ExperimentalSerializationApi::class)
class StoredValuesTest {
    /** A key with its value, from one line of a resource. */
    private class StoredValue(
        val key: String,
        val text: String,
    ) {
        val value = parseObject(text.encodeToByteArray())
    }

    private fun resourceLines(kind: String) =
        javaClass
            .getResource("/stored/$kind.txt")!!
            .readText()
            .trimEnd('\n')
            .split('\n')

    private fun stored(kind: String): List<StoredValue> =
        resourceLines(kind).map { StoredValue(it.substringBefore(' '), it.substringAfter(' ')) }

    private fun assertUnchanged(
        stored: StoredValue,
        written: JsonObject,
    ) = assertEquals(stored.text, written.toString(), stored.key)

    private fun sharedKeys(values: List<StoredValue>) =
        SharedKeyCache().also { it.load(Listing(values.map { value -> KeyValue(value.key, value.value, 1) }, 1)) }

    @Test
    fun `keys keep their names`() {
        val names =
            listOf(
                "c/" to Keys.PREFIX,
                "c/epoch" to Keys.FENCING_TOKEN,
                "c/fleet" to Keys.FLEET,
                "c/format" to Keys.FORMAT,
                "c/version/" to Keys.VERSION,
                "c/ledger/" to Keys.SHARD,
                "c/live/" to Keys.LIVE,
                "c/team/" to Keys.TEAM,
                "s/" to Keys.SUMMARIES,
                "s/room/" to Keys.CAPACITY,
                "c/gone/" to Keys.DELETED_MACHINE,
                "s/heard/" to Keys.HEARTBEATS,
                "c/rent/" to Keys.PROVISIONING,
                "c/kill/" to Keys.CANCELLED_TASKS,
                "c/drain/" to Keys.DRAIN,
                "job/" to Keys.JOB,
                "final/" to Keys.FINAL,
                "c/archive/" to Keys.ARCHIVE,
                "flavors" to Keys.MACHINE_TYPES,
                "part/" to Keys.JOB_PART,
                "c/config" to Keys.CONFIG,
                "config/change/" to Keys.CONFIG_CHANGE,
                "config/snapshot/" to Keys.CONFIG_SNAPSHOT,
                "config/change/000000000012" to Keys.configChange(12),
                "config/snapshot/000000000500/" to Keys.configSnapshot(500),
                "config/part/p-0/" to Keys.configPart("p-0"),
                "job/j-1" to Keys.job("j-1"),
                "final/j-1" to Keys.final("j-1"),
                "c/archive/n0" to Keys.archive("n0"),
                "part/j-1/2" to Keys.jobPart("j-1", 2),
                "c/kill/j-1/2" to Keys.cancelledTasksPart("j-1", 2),
                "c/ledger/n0" to Keys.shard("n0"),
                "c/live/n0" to Keys.live("n0"),
                "c/kill/j-1" to Keys.cancelledTasks("j-1"),
                "c/team/vision" to Keys.team("vision"),
                "c/version/n0" to Keys.version("n0"),
            )
        for ((literal, name) in names) assertEquals(literal, name)
    }

    @Test
    fun `a simulated run stores the bytes of the resources`() {
        val run = RecordedRun(SEED).lines()
        assertEquals(RECORDED_KINDS, run.keys.sorted())
        for ((kind, lines) in run) assertEquals(resourceLines(kind).joinToString("\n"), lines.joinToString("\n"), kind)
    }

    /** Decodes a job record, with attempts that count as dispatched. */
    private fun decodeJob(stored: StoredValue): Job {
        val record = stored.value
        val (process, fencingToken) = JobRecord(record).term.split(':')
        val name = JobRecord(record).shard
        val shard =
            JobShard(name, ShardLeader(name, process, fencingToken.toLong(), 1)).also {
                it.transitionTo(ShardState.ACTIVE)
            }
        val job = JobRecordCodec.decode(stored.key.substringAfter('/'), JobRecord(record), shard, 1)
        val machines = HashMap<String, Machine>()
        for (attempt in JobRecord(record).attempts) {
            val machine =
                attempt.machine.let { described ->
                    machines.getOrPut(described.name) {
                        Machine(described.name, described.addr, described.type, described.zone, described.isSpot)
                    }
                }
            job.attempts[attempt.taskIndex] =
                Attempt(
                    job,
                    attempt.taskIndex,
                    attempt.number,
                    machine,
                    attempt.machine.incarnation,
                    job.attainedServiceS,
                    AttemptState.DISPATCHED,
                )
        }
        return job
    }

    @Test
    fun `job records of all states`() {
        val records = stored("job") + stored("final")
        for (record in records) assertUnchanged(record, JobRecordCodec.encode(decodeJob(record)))
        val states = records.map { JobRecord(it.value).state }
        for (state in listOf(JobState.OPEN, JobState.DONE, JobState.CANCELLED)) assertTrue(state in states, "$state")
        val jobs = records.map { decodeJob(it) }
        assertTrue(jobs.any { it.spec?.isGang == true } && jobs.any { it.spec?.isService == true })
        assertTrue(jobs.any { it.attempts.isNotEmpty() && it.state == JobState.CANCELLED }, "cancelled with tasks")
        assertTrue(jobs.any { it.done.cardinality() in 1 until it.taskCount }, "some tasks done")
    }

    @Test
    fun `lists of cancelled tasks`() {
        for (list in stored("c-kill")) {
            val tasks = CancelledTasksValue.decode(list.key.removePrefix(Keys.CANCELLED_TASKS), list.value)
            assertTrue(tasks.isNotEmpty())
            assertUnchanged(list, CancelledTasksValue.encode(tasks))
        }
        // The resource has only the first 24 job records of the run (see RecordedRun). They include cancelled records
        // of these two jobs, but none of j-000003, which is cancelled later.
        for (jobId in listOf("j-000004", "j-000005")) {
            val cancelled = stored("job").filter { it.key == "job/$jobId" && "\"e\":\"w\"" in it.text }
            val written = cancelled.map { CancelledTasksValue.encode(decodeJob(it).cancelledTasks()).toString() }
            assertTrue(stored("c-kill").single { it.key == "c/kill/$jobId" }.text in written, jobId)
        }
    }

    @Test
    fun `fencing token, shard leaders, live keys and the fleet manager`() {
        for (fencingToken in stored("c-epoch")) {
            assertEquals(fencingToken.text, "{\"n\":${sharedKeys(listOf(fencingToken)).fencingToken}}")
        }
        for (shard in stored("c-ledger")) {
            val leader = sharedKeys(listOf(shard)).leader(shard.key.removePrefix("c/ledger/"))!!
            val token = leader.fencingToken
            val text = "{\"host\":\"${leader.host}\",\"process\":\"${leader.process}\",\"epoch\":$token}"
            assertEquals(shard.text, text)
        }
        for (live in stored("c-live")) {
            val host = live.key.removePrefix("c/live/")
            assertTrue(sharedKeys(listOf(live)).isLive(host))
            val process = live.value.text("process")
            assertEquals("{\"process\":\"$process\",\"format\":3,\"archive\":1}", live.text)
        }
        for (fleet in stored("c-fleet")) {
            val value = fleet.value
            assertEquals("{\"host\":\"${value.text("host")}\",\"process\":\"${value.text("process")}\"}", fleet.text)
        }
    }

    @Test
    fun `versions, formats, archive announcements, drained and deleted machines`() {
        for (version in stored("c-version")) {
            assertEquals("{\"n\":3}", version.text)
            assertEquals(3L, UpgradePlan.announced(sharedKeys(listOf(version)), version.key.removePrefix("c/version/")))
        }
        for (format in stored("c-format")) {
            assertEquals(format.text, "{\"n\":${UpgradePlan.format(sharedKeys(listOf(format)))}}")
        }
        val archives = stored("c-archive")
        assertTrue(archives.all { it.text == "{\"n\":1}" })
        val hosts = archives.map { it.key.removePrefix("c/archive/") }
        val shared = sharedKeys(archives + stored("c-live").distinctBy { it.key })
        assertTrue(ArchivePlan.mayMove(shared, hosts))
        assertFalse(ArchivePlan.mayMove(sharedKeys(archives.drop(1)), hosts))
        for (drain in stored("c-drain")) assertEquals("{\"by\":\"${drain.value.text("by")}\"}", drain.text)
        for (deleted in stored("c-gone")) assertEquals("{}", deleted.text)
    }

    @Test
    fun `allotments of teams`() {
        for (team in stored("c-team")) {
            val allotments = TeamAllotments.decode(1, team.value)
            for (shard in team.value.keys) {
                assertUnchanged(team, allotments.encodeWith(shard, allotments.of(shard)))
            }
        }
    }

    @Test
    fun `provisioning requests and machine types`() {
        for (item in stored("c-rent")) assertUnchanged(item, ProvisioningRequest.parse(item.key, item.value).toJson())
        assertTrue(stored("c-rent").any { ProvisioningRequest.parse(it.key, it.value).machines.isNotEmpty() })
        val types = MachineType.parseAll(stored("flavors").single().value)
        assertEquals(listOf("small", "g8"), types.map { it.label })
        assertEquals(listOf(8.0, 96.0), types.map { it.resources.cores })
        assertEquals(listOf(0.3, 6.0), listOf(types[0].spotHourly, types[0].readyS))
        assertEquals(listOf("a", "b", "c"), types[1].zones)
    }

    /** The value that [SummaryPartitions] stores for the encoded summary [bytes]. */
    private fun storedSummary(bytes: ByteArray): String {
        var text = ""
        runTest {
            val service = StateStoreEmulator(nowMs = { testScheduler.currentTime })
            val http =
                HttpCaller { _, method, target, body, _ ->
                    val response = service.handle(HttpRequest(method, target, body ?: ByteArray(0)))
                    Outcome.Answer(response.status, response.body)
                }
            val budget = RateBudget(backgroundScope, 10_000.0, { testScheduler.currentTime })
            val partitions =
                SummaryPartitions(StateStoreClient(http, "state", budget, budget, 500), 1 shl 20, "s/room/n0")
            partitions.write(listOf("m"), 1, { _, names -> names }) { _, _ -> bytes }
            text = service.value("s/room/n0/0").toString()
        }
        return text
    }

    private fun decodeBase64(stored: StoredValue) = Base64.getDecoder().decode(stored.value.text("b"))

    @Test
    fun `capacity summaries and heartbeat acknowledgements`() {
        for (capacity in stored("s-room")) {
            val summary = ProtoBuf.decodeFromByteArray<CapacitySummary>(decodeBase64(capacity))
            assertEquals(capacity.text, storedSummary(ProtoBuf.encodeToByteArray(summary)), capacity.key)
            assertEquals(capacity.key.split('/')[2], summary.host)
        }
        for (acknowledgements in stored("s-heard")) {
            val list = ProtoBuf.decodeFromByteArray<HeartbeatAcknowledgements>(decodeBase64(acknowledgements))
            assertEquals(acknowledgements.text, storedSummary(ProtoBuf.encodeToByteArray(list)), acknowledgements.key)
        }
    }

    @Test
    fun `head and changes of the configuration`() {
        for (head in stored("c-config")) assertUnchanged(head, ChangeCodec.encode(ChangeCodec.head(head.value)))
        val groups = stored("config-change")
        for (group in groups) {
            val changes = ChangeCodec.changes(group.value).map { ChangeCodec.encode(it.record, it.parts, it.stage) }
            assertUnchanged(group, ChangeCodec.group(changes))
        }
        val change = ChangeCodec.changes(groups.last().value).single().record
        assertEquals("change-1", change.id)
        assertEquals("operator", change.author)
        assertEquals("more for \"vision\"", change.reason)
        assertEquals(listOf("vision", "newcomer"), change.set.map { it.name })
        assertEquals(listOf("cards"), change.remove)
        assertEquals(listOf(1.0, 50.0, 0.0, 20.0), change.set[0].run { listOf(cores, coresMax, gpus, gpusMax) })
    }

    @Test
    fun `snapshots and parts of large changes of the configuration`() {
        val values = stored("config-snapshot")
        val entries = values.flatMap { ChangeCodec.entries(it.value) }
        val snapshot = ChangeCodec.snapshot(Configuration.of(500, entries), MAX_SNAPSHOT_VALUE_BYTES)
        assertEquals(values.map { it.text }, snapshot.map { it.toString() })
        assertEquals(listOf(true, false, false), entries.map { it.isRemoved })
        val head = ChangeCodec.changes(stored("config-staged").single().value).single()
        val parts = stored("config-part")
        assertEquals(2 to "p-0", head.parts to head.stage)
        val whole = ChangeCodec.joined(head, parts.map { it.value })
        assertEquals(parts.map { it.text }, ChangeCodec.parts(whole, MAX_PART_BYTES).map { it.toString() })
        assertEquals(listOf("a", "b", "c"), whole.set.map { it.name })
        assertEquals(listOf("d"), whole.remove)
        val again = ChangeCodec.encode(head.record, head.parts, head.stage)
        assertEquals(stored("config-staged").single().text, ChangeCodec.group(listOf(again)).toString())
    }

    private companion object {
        const val SEED = 7

        /** Maximum size of a snapshot's values, in bytes; splits the entries of the resource into two values. */
        const val MAX_SNAPSHOT_VALUE_BYTES = 270

        /** Maximum size of a change's parts, in bytes; splits the change of the resource into two parts. */
        const val MAX_PART_BYTES = 220

        /**
         * The kinds that the simulated run writes. A configuration snapshot and a change in several parts need more
         * data than the run has, so the resources of these kinds are not compared with it.
         */
        val RECORDED_KINDS =
            listOf(
                "c-archive",
                "c-config",
                "c-drain",
                "c-epoch",
                "c-fleet",
                "c-format",
                "c-gone",
                "c-kill",
                "c-ledger",
                "c-live",
                "c-rent",
                "c-team",
                "c-version",
                "config-change",
                "final",
                "flavors",
                "job",
                "s-heard",
                "s-room",
            )
    }
}
