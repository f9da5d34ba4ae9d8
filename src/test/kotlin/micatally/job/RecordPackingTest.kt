package micatally.job

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.serialization.json.JsonObject
import micatally.emulator.Rehearsal
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.membership.Keys
import micatally.membership.ShardLeader
import micatally.membership.SharedKeyCache
import micatally.sim.SimFleet
import micatally.state.KeyValue
import micatally.state.Listing
import micatally.state.Put
import micatally.state.RateBudget
import micatally.state.StateLimits
import micatally.state.StateStoreClient
import micatally.wire.JobSpec
import micatally.worker.AttemptId
import micatally.worker.Machine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Assertions.fail
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Records and lists of cancelled tasks that are larger than one value of the state store may be. */
class RecordPackingTest {
    private val limits = StateLimits(100.0, 20.0, 1024, 6)
    private val shard =
        JobShard(
            "pitbox-0",
            ShardLeader("pitbox-0", "p", 1, 1),
        ).also { it.transitionTo(ShardState.ACTIVE) }

    private fun job(
        attempts: Int,
        state: JobState,
    ): Job {
        val random = Random(attempts)
        val spec = JobSpec.parse(JsonObject(Rehearsal.job(7, "sweep", attempts * 2)))
        val job = Job(spec.jobId, spec, shard, spec.taskCount, 1000, state)
        repeat(attempts) { i ->
            val machine = Machine("m-%06d".format(random.nextInt(500)), "10.0.0.$i:9000", "g8", "a", false)
            job.attempts[i] = Attempt(job, i, i + 1L, machine, 1, 0.0, AttemptState.DISPATCHED)
        }
        job.durableState = state
        return job
    }

    private fun write(job: Job) = (RecordForms(limits) { true }.fit(job) as RecordFit.Fits).write

    private fun values(write: RecordWrite) = write.changes.filterIsInstance<Put>().associate { it.key to it.value }

    /** All values of a write are within the limits, and together they hold the whole record. */
    @Test
    fun `a record in several values is read as it was`() {
        val job = job(150, JobState.OPEN)
        val values = values(write(job))
        assertTrue(values.size in 2..limits.maxOperationsPerTransaction, "${values.size} values")
        assertTrue(values.values.all { RecordPacking.size(it) <= limits.valueBytes })
        val main = values.getValue(Keys.job(job.jobId))
        val parts = (0 until RecordPacking.overflowCount(main)).map { values.getValue(Keys.jobPart(job.jobId, it)) }
        assertEquals(JobRecordCodec.encode(job), RecordPacking.unpack(main, parts))
        assertEquals(
            listOf("pitbox-0", 0, 150),
            listOf(JobRecord(main).shard, JobRecord(main).doneCount, JobRecord(main).attemptCount),
        )
        assertEquals(false, JobRecord(main).isSettled)
    }

    /**
     * [Cancellations.published] has to join all values of the list. From the first value alone it could read no task.
     */
    @Test
    fun `a list of cancelled tasks in several values is read whole`() {
        val job = job(180, JobState.CANCELLED)
        val write = write(job)
        assertTrue(write.cancelledTasksOverflow > 0 && write.changes.size <= limits.maxOperationsPerTransaction)
        val sharedKeys = SharedKeyCache()
        sharedKeys.load(
            Listing(
                values(write).filterKeys { it.startsWith(Keys.CANCELLED_TASKS) }.map { (k, v) ->
                    KeyValue(k, v, 5)
                },
                5,
            ),
        )
        val scope = CoroutineScope(SupervisorJob())
        val unreachable = HttpCaller { _, _, _, _, _ -> Outcome.NotSent }
        val state =
            StateStoreClient(unreachable, "state", RateBudget(scope, 1.0, { 0 }), RateBudget(scope, 1.0, { 0 }), 10)
        val store = JobStore(scope, state, RecordForms(limits) { true }, 1, 1, NoOpListener) { 0 }
        val cancellations =
            Cancellations(
                scope,
                SimFleet(1).settings[0],
                sharedKeys,
                store,
                { fail("no confirmation is asked for") },
            ) { 0 }
        cancellations.published(Keys.cancelledTasksPart(job.jobId, 0))
        assertTrue(
            job.attempts.values.all {
                cancellations.cancelledTasks.has(it.machine.name, AttemptId(job.jobId, it.taskIndex, it.number))
            },
        )
    }

    private object NoOpListener : JobStoreListener {
        override fun recordWritten(
            job: Job,
            written: List<Attempt>,
        ) = Unit

        override fun recordFull(
            job: Job,
            attempts: List<Attempt>,
        ) = Unit

        override fun jobDropped(job: Job) = Unit

        override fun shardLost(shard: JobShard) = Unit
    }

    /** Overflow values that the record no longer needs are deleted by the write that makes it smaller. */
    @Test
    fun `overflow values that a record no longer needs are deleted`() {
        val job = job(150, JobState.OPEN)
        job.storedOverflow = write(job).overflow
        assertTrue(job.storedOverflow > 0)
        job.attempts.keys
            .toList()
            .drop(2)
            .forEach { job.attempts.remove(it) }
        val deleted = write(job).changes.filter { it !is Put }.map { it.key }
        assertEquals((0 until job.storedOverflow).map { Keys.jobPart(job.jobId, it) }, deleted)
    }

    /** [JobStore] then gives up attempts that are not stored yet. */
    @Test
    fun `a job whose record can't hold its attempts does not fit`() {
        assertEquals(
            RecordFit.TooLarge,
            RecordForms(StateLimits(100.0, 20.0, 512, 3)) { true }.fit(job(200, JobState.OPEN)),
        )
    }

    /** While a controller may still run the previous version, records are stored uncompressed, whatever their size. */
    @Test
    fun `nothing is compressed before the upgrade is finished`() {
        val job = job(150, JobState.OPEN)
        val forms = RecordForms(limits) { false }
        val write = (forms.fit(job) as RecordFit.Fits).write
        assertEquals(
            listOf(Keys.job(job.jobId) to JobRecordCodec.encode(job)),
            write.changes.map { it.key to (it as Put).value },
        )
        assertTrue(forms.isFull(job))
    }
}
