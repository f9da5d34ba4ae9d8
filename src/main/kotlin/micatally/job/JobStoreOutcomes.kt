package micatally.job

/**
 * Applies the outcomes of record writes to the jobs, their attempts and their shards.
 *
 * @param jobEnded called when a job is over, has no attempts left and is stored
 */
class JobStoreOutcomes(
    private val leadership: ShardLeadership,
    private val lifecycle: AttemptLifecycle,
    private val cancellations: Cancellations,
    private val finalAnswers: FinalAnswers,
    private val jobEnded: (Job) -> Unit,
) : JobStoreListener {
    override fun recordWritten(
        job: Job,
        written: List<Attempt>,
    ) {
        lifecycle.markRecorded(written)
        val isOver = job.durableState == JobState.DONE || job.durableState == JobState.CANCELLED
        if (!isOver) return
        if (cancellations.mayConfirm(job)) finalAnswers.remember(job.answer())
        if (job.attempts.isEmpty() && job.durableVersion == job.version) jobEnded(job)
    }

    /**
     * Ends [attempts], and limits the job to the attempts that are left. A gang can't run in part, so all of its
     * attempts that are not stored are ended.
     */
    override fun recordFull(
        job: Job,
        attempts: List<Attempt>,
    ) {
        val all = if (job.gang == null) attempts else job.attempts.values.filter { it.state == AttemptState.INTENDED }
        for (attempt in all) endUnsent(attempt, "no room in the job's record")
        job.attemptLimit = job.attempts.size
    }

    /** Ends the job's attempts. None of them was ever sent, because that requires a durable record. */
    override fun jobDropped(job: Job) {
        for (attempt in job.attempts.values.toList()) endUnsent(attempt, "job not accepted")
        job.shard.jobs.remove(job.jobId, job)
    }

    override fun shardLost(shard: JobShard) = leadership.loseAndRefresh(shard)

    private fun endUnsent(
        attempt: Attempt,
        why: String,
    ) = lifecycle.terminate(attempt, AttemptTermination(TerminationEvidence.NEVER_SENT, why))
}
