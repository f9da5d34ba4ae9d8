package micatally.job

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.settings.Settings

/** Applies the outcomes of record writes to the jobs, their attempts and their shards. */
class JobStoreOutcomes(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val leadership: ShardLeadership,
    private val lifecycle: AttemptLifecycle,
    private val cancellations: Cancellations,
    private val finalAnswers: FinalAnswers,
) : JobStoreListener {
    override fun recordWritten(
        job: Job,
        written: List<Attempt>,
    ) {
        lifecycle.markRecorded(written)
        val isOver = job.durableState == JobState.DONE || job.durableState == JobState.CANCELLED
        if (!isOver) return
        if (cancellations.mayConfirm(job)) finalAnswers.remember(job.answer())
        if (job.attempts.isEmpty() && job.durableVersion == job.version) removeLater(job)
    }

    /**
     * Removes the job from memory after [LEASES_KEPT] leases. It is kept until then, because the entries of its ended
     * tasks are cleared from the machines' task lists only while the job is known.
     */
    private fun removeLater(job: Job) {
        val shard = job.shard
        scope.launch {
            delay(settings.leaseMs * LEASES_KEPT)
            if (job.attempts.isEmpty()) shard.jobs.remove(job.jobId, job)
        }
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

    private companion object {
        const val LEASES_KEPT = 2
    }
}
