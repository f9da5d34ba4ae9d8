package micatally.job

import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import micatally.settings.Settings
import micatally.wire.CancelledTask
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** Brings the jobs of a shard that this node has just acquired from the state service into memory. */
class ShardLoader(
    private val settings: Settings,
    private val records: ShardRecords,
    private val machines: MachineRegistry,
    private val store: JobStore,
    private val jobManager: JobManager,
    private val collaborators: JobCollaborators,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.job")

    /** Whether the shard's jobs should be known by now and are not: a new job of it might never be started. */
    fun isOverdue(shard: JobShard) =
        shard.state == ShardState.LOADING &&
            (shard.isUnreadable || nowMs() - shard.leaderSinceMs > settings.leaseMs / LOADS_A_LEASE)

    /** Tries until the shard is loaded or lost. */
    suspend fun load(shard: JobShard) {
        while (shard.isLedHere) {
            if (tryLoad(shard)) return
            delay(settings.heartbeatIntervalMs / 8)
        }
    }

    /** False if the records can't be had, or can't be read: then nothing of the shard moves, and the log names the record. */
    private suspend fun tryLoad(shard: JobShard): Boolean {
        try {
            val records = records.of(shard) { jobId, record -> settled(shard, jobId, record) } ?: return false
            if (!shard.isLedHere) return true
            for (record in records) readable(record.jobId) { adopt(shard, record) }
        } catch (e: UnreadableRecord) {
            if (!shard.isUnreadable) log.error("shard {} can't be loaded: {}", shard.name, e.message)
            shard.isUnreadable = true
            return false
        }
        shard.transitionTo(ShardState.ACTIVE)
        val tookMs = nowMs() - shard.leaderSinceMs
        log.info(
            "shard {} loaded at fencing token {}: {} jobs in {} ms",
            shard.name,
            shard.leader.fencingToken,
            shard.jobs.size,
            tookMs,
        )
        reconcileMachines()
        collaborators.requestCycle()
        return true
    }

    private fun adopt(
        shard: JobShard,
        record: ShardRecord,
    ) {
        val jobId = record.jobId
        // Whoever's job it is: a node that has just started must stop its tasks where it hears them.
        if (record.plain != null && JobRecord.state(record.stored) == JobState.CANCELLED) {
            jobManager.cancellations.cancelledTasks.take(
                JobRecord.placed(record.plain).map {
                    CancelledTask(it.machine, jobId, it.taskIndex, it.number)
                },
            )
        }
        if (JobRecord.shardOf(record.stored) != shard.name) return
        if (isKnown(shard, jobId, record.stored)) return
        val plain = record.plain ?: return
        val job = JobRecord.decode(jobId, plain, shard, record.modRevision)
        if (JobRecord.isSettled(plain)) {
            jobManager.rememberFinal(job.answer())
            return
        }
        job.storedOverflow = RecordPacking.overflowCount(record.stored)
        shard.jobs[jobId] = job
        for (placed in JobRecord.placed(plain)) adoptAttempt(job, placed)
        jobManager.gangs.adopted(job)
        if (job.state == JobState.CANCELLED) {
            if (!jobManager.cancellations.adopted(job)) store.touch(job, true)
        }
    }

    /** Whether the job is here already. One that was accepted here while the list was on its way is; one whose user has just
     * repeated here what was accepted before is given up: then the record counts, or nobody would own the job. */
    private fun isKnown(
        shard: JobShard,
        jobId: String,
        record: JsonObject,
    ): Boolean {
        val present = shard.jobs[jobId] ?: return false
        if (present.durableState != JobState.NEW || JobRecord.termOf(record) == shard.term) return true
        store.drop(present)
        return false
    }

    /** A job of the shard that is over, with nothing left to do. */
    private fun settled(
        shard: JobShard,
        jobId: String,
        record: JsonObject,
    ) {
        if (!shard.isLedHere || isKnown(shard, jobId, record)) return
        jobManager.rememberFinal(JobRecord.decode(jobId, record, shard, 0L).answer())
    }

    private fun adoptAttempt(
        job: Job,
        placed: JobRecord.Placed,
    ) {
        val machine = machines.known(placed.machine, placed.addr, placed.type, placed.zone, placed.spot)
        if (machine.incarnation == 0L) machine.incarnation = placed.incarnation
        val attempt =
            Attempt(
                job,
                placed.taskIndex,
                placed.number,
                machine,
                placed.incarnation,
                job.service,
                AttemptState.DISPATCHED,
            )
        job.attempts[placed.taskIndex] = attempt
        jobManager.attach(attempt)
    }

    /** What is known of the machines already is applied to the attempts that have just been loaded. */
    private fun reconcileMachines() {
        for (machine in machines.byName.values.toList()) {
            if (machine.incarnation > 0) jobManager.newIncarnation(machine)
            if (machine.deleted) jobManager.deleted(machine)
            if (machine.attempts.isNotEmpty()) {
                jobManager.tasksReported(machine, TaskListSource.HEARTBEAT)
                jobManager.requestSync(machine)
            }
        }
    }

    private companion object {
        /** A shard is to be loaded in this part of a worker's lease. */
        const val LOADS_A_LEASE = 4
    }
}
