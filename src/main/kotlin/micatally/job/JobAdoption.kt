package micatally.job

import micatally.gang.GangSupervisor
import micatally.wire.CancelledTask
import micatally.worker.MachineRegistry

/** Puts the stored jobs of a shard that this controller has acquired into memory. */
class JobAdoption(
    private val machines: MachineRegistry,
    private val store: JobStore,
    private val attempts: AttemptLifecycle,
    private val gangs: GangSupervisor,
    private val cancellations: Cancellations,
    private val finalAnswers: FinalAnswers,
) {
    /** Puts the job with its attempts into [shard], unless it is another shard's, present already, or over. */
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
        if (job.state == JobState.CANCELLED && !cancellations.adopted(job)) store.requestWrite(job)
    }

    /** Whichever shard the job is in: a controller that has just started must stop its tasks where machines report them. */
    private fun noteCancelledTasks(record: ShardRecord) {
        if (record.plain == null || record.stored.state != JobState.CANCELLED) return
        val tasks = record.plain.attempts
        cancellations.cancelledTasks.add(
            tasks.map { CancelledTask(it.machine.name, record.jobId, it.taskIndex, it.number) },
        )
    }

    /** Remembers the answer about a job of the shard that is over, with nothing left to do. */
    fun rememberSettled(
        shard: JobShard,
        jobId: String,
        record: JobRecord,
    ) {
        if (!shard.isLedHere || isPresent(shard, jobId, record)) return
        finalAnswers.remember(JobRecordCodec.decode(jobId, record, shard, 0L).answer())
    }

    /**
     * Whether the job is in the shard already, since it was accepted here while the records were read. One that is present
     * only as a repeat of an earlier submission, and not stored yet, is dropped in favour of the record: otherwise no
     * controller would lead the job.
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

    /** Whether the attempt was sent is not known, so it counts as sent. */
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
                job.service,
                AttemptState.DISPATCHED,
            ),
        )
    }
}
