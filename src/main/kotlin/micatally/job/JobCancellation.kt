package micatally.job

import micatally.worker.Machine
import org.slf4j.LoggerFactory

/** Cancels jobs and stops their attempts. [Cancellations] decides when a user may be told that a job is cancelled. */
class JobCancellation(
    private val cancellations: Cancellations,
    private val attempts: AttemptLifecycle,
    private val store: JobStore,
    private val collaborators: JobCollaborators,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.job")

    /**
     * Cancels the job unless it is over. Returns at once: the write of the record and the syncs of the machines are
     * only requested here.
     */
    fun cancel(job: Job) {
        if (job.state != JobState.OPEN && job.state != JobState.NEW) return
        job.transitionTo(JobState.CANCELLED)
        log.info("job {} cancelled with {} tasks", job.jobId, job.attempts.size)
        cancellations.begin(job)
        val machinesToSync = stopAttempts(job)
        store.requestWrite(job)
        for (machine in machinesToSync) collaborators.requestSync(machine)
    }

    /**
     * Ends the attempts that were never stored, and marks the others to be stopped.
     *
     * @return the machines that have attempts to be stopped
     */
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

    /**
     * Marks the attempts of the cancelled jobs of active shards to be stopped. A job's record does not tell which
     * attempts were marked, so those of a job that was loaded after a failover have to be marked again. Called
     * regularly.
     */
    fun stopUnfinished() {
        val now = nowMs()
        for (job in cancellations.unfinishedJobs) {
            if (job.shard.state != ShardState.ACTIVE) continue
            for (attempt in job.attempts.values) attempt.stop(StopReason.CANCELLED, now)
        }
    }
}
