package micatally.scheduling

import micatally.job.Job
import micatally.settings.Settings
import micatally.wire.JobSpec
import org.slf4j.LoggerFactory

/** Places pending tasks of one job on machines, as far as free capacity, the quota and the job's limits allow. */
class JobPlacement(
    private val settings: Settings,
    private val view: ClusterView,
    private val actions: PlacementActions,
    private val queues: PriorityQueues,
    private val migration: ReplicaMigration,
    private val allOrNothing: AllOrNothingPlacement,
    private val misses: CapacityMisses,
    private val unplacedTasks: UnplacedTasks,
) {
    private val log = LoggerFactory.getLogger("micatally.scheduling")

    /**
     * Places as many pending tasks of the job as possible, up to the limit for one call.
     *
     * @param imagePreference whether machines may be used that have to pull the image first; ignored for tasks that are
     * placed all at once
     * @return true if every task that was tried found a machine and more tasks are pending, so that another cycle is
     * worthwhile
     */
    fun place(
        job: Job,
        now: Long,
        imagePreference: ImagePreference,
    ): Boolean {
        val spec = job.spec ?: return false
        if (!job.wantsTasks || now < job.retryAt) return false
        val maxAttempts = remainingAttempts(job)
        if (maxAttempts <= 0) return false
        job.gang?.let {
            allOrNothing.placeGang(job, spec, it, maxAttempts, now)
            return false
        }
        if (spec.isService) migration.placeMigrated(job, spec, now)
        if (isKnownMiss(job, spec)) {
            unplacedTasks.handle(job, spec, 1, now)
            return false
        }
        val pending = job.pending(batchSize(spec, maxAttempts))
        if (pending.isEmpty()) return false
        if (spec.isAllOrNothing) {
            allOrNothing.placeAllOrNone(job, spec, pending, now) { job.nextAttempt++ }
            return false
        }
        return placeEach(job, spec, pending, now, imagePreference)
    }

    /**
     * Whether a task of the same shape has found no machine in this cycle, and the quota would admit the task. The
     * quota is checked last because the check itself may request a larger allotment.
     */
    private fun isKnownMiss(
        job: Job,
        spec: JobSpec,
    ): Boolean {
        if (spec.isAllOrNothing) return false
        return misses.isWithoutCapacity(spec, Placement.zoneRule(job, spec)) && actions.isWithinQuota(job)
    }

    /** How many tasks to place in one call: all of a service, but at most [MAX_TASKS_PER_CYCLE] of an array. */
    private fun batchSize(
        spec: JobSpec,
        maxAttempts: Int,
    ): Int = if (spec.isService) minOf(spec.taskCount, maxAttempts) else minOf(maxAttempts, MAX_TASKS_PER_CYCLE)

    private fun placeEach(
        job: Job,
        spec: JobSpec,
        pending: List<Int>,
        now: Long,
        imagePreference: ImagePreference,
    ): Boolean {
        val selector = MachineSelector(view, job, spec, now, imagePreference)
        var placed = 0
        var isBlocked = false
        for (taskIndex in pending) {
            if (!actions.isWithinQuota(job)) {
                isBlocked = true
                break
            }
            val machine = selector.next()
            if (machine == null) {
                isBlocked = selector.isDeferred || imagePreference == ImagePreference.ONLY_WITH_IMAGE
                if (!isBlocked && job.health.machines.isEmpty()) misses.addWithoutCapacity(spec, selector.zoneRule)
                break
            }
            actions.createAttempt(job, taskIndex, machine)
            placed++
        }
        if (placed > 0) {
            job.queue = queues.queueOf(job)
            actions.requestWrite(job)
        }
        if (placed < pending.size && !isBlocked) unplacedTasks.handle(job, spec, pending.size - placed, now)
        return placed == pending.size && job.pendingCount > 0
    }

    /** How many more attempts the job may have now. A job that fails on every machine gets one attempt at a time. */
    private fun remainingAttempts(job: Job): Int {
        val isTriedSingly = job.health.isSuspect && job.spec?.isAllOrNothing == false
        if (isTriedSingly) return MAX_ATTEMPTS_OF_SUSPECT_JOB - job.attempts.size
        val maxAttempts = minOf(settings.stateLimits.attemptsOfOneJob(view.machines.byName.size), job.attemptLimit)
        val remaining = maxAttempts - job.attempts.size
        if (remaining <= 0 && job.pendingCount > 0) logAttemptLimit(job, maxAttempts)
        return remaining
    }

    private fun logAttemptLimit(
        job: Job,
        maxAttempts: Int,
    ) {
        if (job.isAttemptLimitLogged) return
        job.isAttemptLimitLogged = true
        log.warn("job {}: {} of {} tasks at once, as many as its record holds", job.jobId, maxAttempts, job.taskCount)
    }

    /** Limits of placement; [UnplacedTasks] uses one of them too. */
    companion object {
        /** How many tasks of an array are placed by one call. The others follow after the other jobs had their turn. */
        private const val MAX_TASKS_PER_CYCLE = 100

        /** How many attempts a job that fails on every machine may have at the same time. */
        const val MAX_ATTEMPTS_OF_SUSPECT_JOB = 1
    }
}
