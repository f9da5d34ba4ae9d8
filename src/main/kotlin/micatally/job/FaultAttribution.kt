package micatally.job

import micatally.settings.Settings
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/**
 * Decides whether the failure of a task is the fault of its job or of its machine. A job that was submitted with a
 * mistake fails on every machine, while a faulty machine fails the tasks of every job. So the decision rests on which
 * jobs fail on which machines, and which tasks succeed there.
 */
class FaultAttribution(
    private val settings: Settings,
    private val machines: MachineRegistry,
) {
    private val log = LoggerFactory.getLogger("micatally.job")
    private val memoryMs = settings.leaseMs * MEMORY_LEASES

    /**
     * Counts a task that exited with an error after it had run for [ranMs], and may delay the job's next attempt. The
     * failure counts against the machine unless the job itself is suspected of being faulty.
     */
    fun taskFailed(
        attempt: Attempt,
        ranMs: Long,
        nowMs: Long,
    ) {
        val job = attempt.job
        val health = job.health
        checkForSuccess(job, nowMs)
        val wasSuspect = health.isSuspect
        val isMachineProven = isMachineProven(attempt.machine, job, nowMs)
        health.failed(attempt.machine.name, ranMs, isMachineProven)
        val backoffMs = health.backoffMs(settings.heartbeatIntervalMs, memoryMs)
        if (backoffMs > 0) job.retryAt = nowMs + backoffMs
        if (health.isSuspect) {
            if (!wasSuspect) onJobSuspected(job)
            return
        }
        val runsElsewhere = health.hasSucceeded && !isMachineProven
        val isNewlyFaulty = attempt.machine.health.recordFailure(job.jobId, runsElsewhere, nowMs, memoryMs)
        if (isNewlyFaulty) log.info("machine {} fails what it starts", attempt.machine.name)
    }

    /** Counts a task that is done as a success on its machine. */
    fun taskCompleted(
        attempt: Attempt,
        nowMs: Long,
    ) = attempt.machine.health.succeeded(nowMs)

    /**
     * Clears those of [jobs] that are suspected and have a task which has run for long enough by now. The tasks of a
     * service never complete, so this is the only way to clear it. Called regularly.
     */
    fun review(
        jobs: List<Job>,
        nowMs: Long,
    ) {
        for (job in jobs) if (job.health.isSuspect) checkForSuccess(job, nowMs)
    }

    /** Counts a success of the job if one of its tasks has run for long enough to prove that the job can run. */
    private fun checkForSuccess(
        job: Job,
        nowMs: Long,
    ) {
        val canRun = job.attempts.values.any { job.health.isProvenBy(ranMs(it, nowMs), settings.leaseMs) }
        if (!canRun) return
        if (job.health.isSuspect) log.info("job {} runs and is no longer suspected to be faulty", job.jobId)
        job.health.succeeded()
    }

    /** For how long the attempt has been running, in ms; 0 if it does not run. */
    private fun ranMs(
        attempt: Attempt,
        nowMs: Long,
    ): Long {
        if (attempt.state != AttemptState.RUNNING) return 0L
        return attempt.runningSince?.let { nowMs - it } ?: 0L
    }

    /**
     * Whether tasks succeed on the machine: one completed there lately, or one of another job has been running there
     * for longer than a lease.
     */
    private fun isMachineProven(
        machine: Machine,
        job: Job,
        nowMs: Long,
    ) = machine.health.hasSucceeded(nowMs, memoryMs) ||
        machine.attempts.any { it.job !== job && ranMs(it, nowMs) > settings.leaseMs }

    /** The job itself is likely at fault, so its failures so far no longer count against the machines. */
    private fun onJobSuspected(job: Job) {
        log.warn(
            "job {} fails wherever it starts: {} failures on {} machines; tried with one task at a time",
            job.jobId,
            job.health.failures,
            job.health.machines.size,
        )
        for (name in job.health.machines) {
            val machine = machines.of(name) ?: continue
            val isCleared = machine.health.withdrawFailures(job.jobId)
            if (isCleared) log.info("machine {} is used again: its failures were those of job {}", name, job.jobId)
        }
    }

    private companion object {
        /**
         * For how many leases a failure or a success on a machine counts. Also the longest backoff of a job, in leases.
         */
        const val MEMORY_LEASES = 6
    }
}
