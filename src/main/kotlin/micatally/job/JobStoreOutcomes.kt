package micatally.job

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.settings.Settings

/** Carries the outcomes of record writes on to the jobs and their attempts. */
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

    /** The job stays in memory for a while, so that the entries of its ended tasks are still cleared from the machines. */
    private fun removeLater(job: Job) {
        val shard = job.shard
        scope.launch {
            delay(settings.leaseMs * LEASES_KEPT)
            if (job.attempts.isEmpty()) shard.jobs.remove(job.jobId, job)
        }
    }

    /** A gang can't run in part, so all its attempts that are not stored end together. */
    override fun recordFull(
        job: Job,
        attempts: List<Attempt>,
    ) {
        val all = if (job.gang == null) attempts else job.attempts.values.filter { it.state == AttemptState.INTENDED }
        for (attempt in all) endUnsent(attempt, "no room in the job's record")
        job.attemptLimit = job.attempts.size
    }

    /** None of its tasks was ever sent, since that takes a durable record. */
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
