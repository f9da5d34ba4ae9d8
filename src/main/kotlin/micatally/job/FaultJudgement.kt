package micatally.job

import micatally.settings.Settings
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** Tells jobs that were submitted with a mistake from faulty machines, by which jobs fail where and what succeeds beside them. */
class FaultJudgement(
    private val settings: Settings,
    private val machines: MachineRegistry,
) {
    private val log = LoggerFactory.getLogger("micatally.job")
    private val memoryMs = settings.leaseMs * MEMORY_LEASES

    /** The attempt's task exited with an error after it had run for [ranMs]. */
    fun taskFailed(
        attempt: Attempt,
        ranMs: Long,
        nowMs: Long,
    ) {
        val job = attempt.job
        val health = job.health
        noteSuccess(job, nowMs)
        val wasSuspect = health.isSuspect
        val isProven = isProven(attempt.machine, job, nowMs)
        health.failed(attempt.machine.name, ranMs, isProven)
        val pauseMs = health.pauseMs(settings.heartbeatIntervalMs, memoryMs)
        if (pauseMs > 0) job.retryAt = nowMs + pauseMs
        if (health.isSuspect) {
            if (!wasSuspect) suspect(job)
            return
        }
        val runsElsewhere = health.hasSucceeded && !isProven
        val isNewlyFaulty = attempt.machine.health.recordFailure(job.jobId, runsElsewhere, nowMs, memoryMs)
        if (isNewlyFaulty) log.info("machine {} fails what it starts", attempt.machine.name)
    }

    /** The attempt's task is done, which speaks for its machine. */
    fun taskCompleted(
        attempt: Attempt,
        nowMs: Long,
    ) = attempt.machine.health.succeeded(nowMs)

    /** Clears suspected jobs whose tasks run on by now; a service has no other way to prove itself. Called regularly. */
    fun review(
        jobs: List<Job>,
        nowMs: Long,
    ) {
        for (job in jobs) if (job.health.isSuspect) noteSuccess(job, nowMs)
    }

    private fun noteSuccess(
        job: Job,
        nowMs: Long,
    ) {
        val isProven = job.attempts.values.any { job.health.isProvenBy(ranMs(it, nowMs), settings.leaseMs) }
        if (!isProven) return
        if (job.health.isSuspect) log.info("job {} runs after all", job.jobId)
        job.health.succeeded()
    }

    private fun ranMs(
        attempt: Attempt,
        nowMs: Long,
    ): Long {
        if (attempt.state != AttemptState.RUNNING) return 0L
        return attempt.runningSince?.let { nowMs - it } ?: 0L
    }

    /** Whether the machine runs other jobs well: a task of another job that runs on there counts as one that completed. */
    private fun isProven(
        machine: Machine,
        job: Job,
        nowMs: Long,
    ) = machine.health.hasSucceeded(nowMs, memoryMs) ||
        machine.attempts.any { it.job !== job && ranMs(it, nowMs) > settings.leaseMs }

    /** The job itself is at fault, so its failures no longer count against machines. */
    private fun suspect(job: Job) {
        log.warn(
            "job {} fails wherever it starts: {} failures on {} machines; tried with one task at a time",
            job.jobId,
            job.health.failures,
            job.health.machines.size,
        )
        for (name in job.health.machines) {
            val machine = machines.of(name) ?: continue
            val isCleared = machine.health.withdrawFailures(job.jobId)
            if (isCleared) log.info("machine {} is used again: it was {} that failed", name, job.jobId)
        }
    }

    private companion object {
        /** For how many leases a failure counts against a machine; no retry waits for longer. */
        const val MEMORY_LEASES = 6
    }
}
