package micatally.job

import micatally.settings.Settings
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** Tells jobs with a mistake from faulty machines, by which jobs failed where and by what succeeds beside them. */
class FaultJudgement(
    private val settings: Settings,
    private val machines: MachineRegistry,
) {
    private val log = LoggerFactory.getLogger("micatally.job")
    private val memoryMs = settings.leaseMs * MEMORY_LEASES

    /** A task exited with an error after it had run for so long. */
    fun taskFailed(
        attempt: Attempt,
        ranMs: Long,
        nowMs: Long,
    ) {
        val job = attempt.job
        val health = job.health
        lookForSuccess(job, nowMs)
        val wasSuspect = health.isSuspect
        val isProven = isProven(attempt.machine, job, nowMs)
        health.failed(attempt.machine.name, ranMs, isProven)
        val pauseMs = health.pauseMs(settings.heartbeatIntervalMs, memoryMs)
        if (pauseMs > 0) job.retryAt = nowMs + pauseMs
        if (health.isSuspect) {
            if (!wasSuspect) suspect(job, nowMs)
            return
        }
        val runsElsewhere = health.hasSucceeded && !isProven
        if (attempt.machine.health.accuse(
                job.jobId,
                runsElsewhere,
                nowMs,
                memoryMs,
            )
        ) {
            log.info("machine {} fails what it starts", attempt.machine.name)
        }
    }

    fun taskCompleted(
        attempt: Attempt,
        nowMs: Long,
    ) = attempt.machine.health.succeeded(nowMs)

    /** A suspected service proves itself by running on; nothing else would tell. */
    fun review(
        jobs: List<Job>,
        nowMs: Long,
    ) {
        for (job in jobs) if (job.health.isSuspect) lookForSuccess(job, nowMs)
    }

    private fun lookForSuccess(
        job: Job,
        nowMs: Long,
    ) {
        val isProven = job.attempts.values.any { a -> job.health.isProvenBy(ranMs(a, nowMs), settings.leaseMs) }
        if (!isProven) return
        if (job.health.isSuspect) log.info("job {} runs after all", job.jobId)
        job.health.succeeded()
    }

    private fun ranMs(
        attempt: Attempt,
        nowMs: Long,
    ) = if (attempt.state == AttemptState.RUNNING) attempt.runningSince?.let { nowMs - it } ?: 0L else 0L

    /** A task of another job that runs on there speaks for the machine as one that completed does. */
    private fun isProven(
        machine: Machine,
        job: Job,
        nowMs: Long,
    ) = machine.health.hasSucceeded(nowMs, memoryMs) ||
        machine.attempts.any { it.job !== job && ranMs(it, nowMs) > settings.leaseMs }

    private fun suspect(
        job: Job,
        nowMs: Long,
    ) {
        log.warn(
            "job {} fails wherever it starts: {} failures on {} machines; tried with one task at a time",
            job.jobId,
            job.health.failures,
            job.health.machines.size,
        )
        for (name in job.health.machines) {
            val machine = machines.of(name) ?: continue
            if (machine.health.cancel(
                    job.jobId,
                )
            ) {
                log.info("machine {} is used again: it was {} that failed", name, job.jobId)
            }
        }
    }

    private companion object {
        /** Accusations count for so many leases, and no retry waits for longer. */
        const val MEMORY_LEASES = 6
    }
}
