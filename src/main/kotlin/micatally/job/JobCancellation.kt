package micatally.job

import micatally.worker.Machine
import org.slf4j.LoggerFactory

/** Cancels jobs and stops their attempts. When a user may be told of it is decided by [Cancellations]. */
class JobCancellation(
    private val cancellations: Cancellations,
    private val attempts: AttemptLifecycle,
    private val store: JobStore,
    private val collaborators: JobCollaborators,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.job")

    /** Cancels the job unless it is over. Returns at once; the record is written and the machines are synced afterwards. */
    fun cancel(job: Job) {
        if (job.state != JobState.OPEN && job.state != JobState.NEW) return
        job.transitionTo(JobState.CANCELLED)
        log.info("job {} cancelled with {} tasks", job.jobId, job.attempts.size)
        cancellations.begin(job)
        val machinesToSync = stopAttempts(job)
        store.requestWrite(job)
        for (machine in machinesToSync) collaborators.requestSync(machine)
    }

    private fun stopAttempts(job: Job): Set<Machine> {
        val now = nowMs()
        val stoppedOn = LinkedHashSet<Machine>()
        for (attempt in job.attempts.values.toList()) {
            if (attempt.state == AttemptState.INTENDED) {
                attempts.terminate(attempt, AttemptTermination(TerminationEvidence.NEVER_SENT, "cancelled"))
                continue
            }
            attempt.stop(StopReason.CANCELLED, now)
            stoppedOn.add(attempt.machine)
        }
        return stoppedOn
    }

    /** Stops the attempts of cancelled jobs that were loaded after a failover, whose stop is not stored with them. */
    fun stopUnfinished() {
        val now = nowMs()
        for (job in cancellations.unfinishedJobs) {
            if (job.shard.state != ShardState.ACTIVE) continue
            for (attempt in job.attempts.values) attempt.stop(StopReason.CANCELLED, now)
        }
    }
}
