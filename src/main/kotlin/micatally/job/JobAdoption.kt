package micatally.job

import micatally.gang.GangSupervisor
import micatally.wire.CancelledTask
import micatally.worker.MachineRegistry

/** Puts the stored jobs of a shard that this controller has acquired into memory, with their attempts. */
class JobAdoption(
    private val machines: MachineRegistry,
    private val store: JobStore,
    private val attempts: AttemptLifecycle,
    private val gangs: GangSupervisor,
    private val cancellations: Cancellations,
    private val finalAnswers: FinalAnswers,
) {
    /**
     * Puts the job of [record] with its attempts into [shard], unless the job belongs to another shard, is present
     * already, or is over without attempts. Of such a job of the shard only the final answer is remembered. The tasks
     * of a cancelled job are noted in any case.
     */
    fun adopt(
        shard: JobShard,
        record: ShardRecord,
    ) {
        noteCancelledTasks(record)
        if (record.stored.shard != shard.name) return
        if (isPresent(shard, record.jobId, record.stored)) return
        val plain = record.plain ?: return
        val job = JobRecordCodec.decode(record.jobId, plain, shard, record.modRevision)
        if (plain.isSettled) {
            finalAnswers.remember(job.answer())
            return
        }
        job.storedOverflow = RecordPacking.overflowCount(record.stored.json)
        shard.jobs[record.jobId] = job
        for (attempt in plain.attempts) adoptAttempt(job, attempt)
        gangs.restore(job)
        if (job.state == JobState.CANCELLED && !cancellations.addLoaded(job)) store.requestWrite(job)
    }

    /**
     * Remembers the tasks of a cancelled job, whichever shard it is in: a controller that has just started must stop
     * them too if their machines report to it.
     */
    private fun noteCancelledTasks(record: ShardRecord) {
        if (record.plain == null || record.stored.state != JobState.CANCELLED) return
        val tasks = record.plain.attempts
        cancellations.cancelledTasks.add(
            tasks.map { CancelledTask(it.machine.name, record.jobId, it.taskIndex, it.number) },
        )
    }

    /** Remembers the final answer about a job of the shard that is over and has no attempts left. */
    fun rememberSettled(
        shard: JobShard,
        jobId: String,
        record: JobRecord,
    ) {
        if (!shard.isLedHere || isPresent(shard, jobId, record)) return
        finalAnswers.remember(JobRecordCodec.decode(jobId, record, shard, 0L).answer())
    }

    /**
     * Whether the job is in the shard already, because it was accepted here while the records were read.
     *
     * A job in memory that is not stored yet, while the record is from another term of leadership, is only a repeat of
     * that earlier submission. It is dropped in favour of the record, as otherwise no controller would lead the job.
     */
    private fun isPresent(
        shard: JobShard,
        jobId: String,
        record: JobRecord,
    ): Boolean {
        val present = shard.jobs[jobId] ?: return false
        if (present.durableState != JobState.NEW || record.term == shard.term) return true
        store.drop(present)
        return false
    }

    /**
     * Adds a stored attempt to the job. It counts as dispatched, because it is not known whether a run command was
     * sent.
     */
    private fun adoptAttempt(
        job: Job,
        stored: StoredAttempt,
    ) {
        val described = stored.machine
        val machine =
            machines.findOrAdd(described.name, described.addr, described.type, described.zone, described.isSpot)
        if (machine.incarnation == 0L) machine.incarnation = described.incarnation
        attempts.attach(
            Attempt(
                job,
                stored.taskIndex,
                stored.number,
                machine,
                described.incarnation,
                job.attainedServiceS,
                AttemptState.DISPATCHED,
            ),
        )
    }
}
