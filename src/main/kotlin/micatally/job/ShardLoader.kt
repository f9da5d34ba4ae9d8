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
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.job")

    /** Whether the shard's jobs should be known by now and are not: a new job of it might never be started. */
    fun isOverdue(l: JobShard) =
        l.state == ShardState.LOADING &&
            (l.isUnreadable || nowMs() - l.leaderSinceMs > settings.leaseMs / LOADS_A_LEASE)

    /** Tries until the shard is loaded or lost. */
    suspend fun load(l: JobShard) {
        while (l.mine) {
            if (tryLoad(l)) return
            delay(settings.heartbeatIntervalMs / 8)
        }
    }

    /** False if the records can't be had, or can't be read: then nothing of the shard moves, and the log names the record. */
    private suspend fun tryLoad(l: JobShard): Boolean {
        try {
            val records = records.of(l) { jobId, record -> settled(l, jobId, record) } ?: return false
            if (!l.mine) return true
            for (record in records) readable(record.jobId) { adopt(l, record) }
        } catch (e: UnreadableRecord) {
            if (!l.isUnreadable) log.error("shard {} can't be loaded: {}", l.name, e.message)
            l.isUnreadable = true
            return false
        }
        l.transitionTo(ShardState.ACTIVE)
        val tookMs = nowMs() - l.leaderSinceMs
        log.info(
            "shard {} loaded at fencing token {}: {} jobs in {} ms",
            l.name,
            l.leader.fencingToken,
            l.jobs.size,
            tookMs,
        )
        reconcileMachines()
        jobManager.requestCycle()
        return true
    }

    private fun adopt(
        l: JobShard,
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
        if (JobRecord.shardOf(record.stored) != l.name) return
        if (isKnown(l, jobId, record.stored)) return
        val plain = record.plain ?: return
        val job = JobRecord.decode(jobId, plain, l, record.modRevision)
        if (JobRecord.isSettled(plain)) {
            jobManager.rememberFinal(job.answer())
            return
        }
        job.storedOverflow = RecordPacking.overflowCount(record.stored)
        l.jobs[jobId] = job
        for (placed in JobRecord.placed(plain)) adoptAttempt(job, placed)
        jobManager.gangs.restore(job)
        if (job.state == JobState.CANCELLED) {
            if (!jobManager.cancellations.adopted(job)) store.touch(job, true)
        }
    }

    /** Whether the job is here already. One that was accepted here while the list was on its way is; one whose user has just
     * repeated here what was accepted before is given up: then the record counts, or nobody would own the job. */
    private fun isKnown(
        l: JobShard,
        jobId: String,
        record: JsonObject,
    ): Boolean {
        val present = l.jobs[jobId] ?: return false
        if (present.durableState != JobState.NEW || JobRecord.termOf(record) == l.term) return true
        store.drop(present)
        return false
    }

    /** A job of the shard that is over, with nothing left to do. */
    private fun settled(
        l: JobShard,
        jobId: String,
        record: JsonObject,
    ) {
        if (!l.mine || isKnown(l, jobId, record)) return
        jobManager.rememberFinal(JobRecord.decode(jobId, record, l, 0L).answer())
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
        for (m in machines.byName.values.toList()) {
            if (m.incarnation > 0) jobManager.newIncarnation(m)
            if (m.deleted) jobManager.deleted(m)
            if (m.attempts.isNotEmpty()) {
                jobManager.tasksReported(m, false)
                jobManager.requestSync(m)
            }
        }
    }

    private companion object {
        /** A shard is to be loaded in this part of a worker's lease. */
        const val LOADS_A_LEASE = 4
    }
}
