package micatally.scheduling

import micatally.job.Job
import micatally.wire.JobSpec

/** Handles tasks that found no machine: records a resource request for them, and may preempt other tasks. */
class UnplacedTasks(
    private val allZones: List<String>,
    private val view: ClusterView,
    private val queues: PriorityQueues,
    private val preemption: Preemption,
    private val misses: CapacityMisses,
    private val pendingRequests: PendingRequests,
) {
    /**
     * Records a resource request for all pending tasks of the job, and tries to free capacity for [count] of them by
     * preemption.
     */
    fun handle(
        job: Job,
        spec: JobSpec,
        count: Int,
        now: Long,
    ) {
        if (job.health.isSuspect) {
            handleSuspect(job, spec, now)
            return
        }
        addRequest(job, spec, job.pendingCount)
        preemptFor(job, spec, count, now)
    }

    /**
     * Handles a job that fails on every machine. Nothing is preempted for it, and it requests machines only while no
     * usable machine exists that the job allows, whether or not it has free capacity.
     */
    private fun handleSuspect(
        job: Job,
        spec: JobSpec,
        now: Long,
    ) {
        val hasMachines =
            view.machines.byName.values
                .any { view.isUsable(it, now) && Placement.mayUse(spec, it) }
        if (!hasMachines) addRequest(job, spec, JobPlacement.MAX_ATTEMPTS_OF_SUSPECT_JOB)
    }

    private fun addRequest(
        job: Job,
        spec: JobSpec,
        count: Int,
    ) {
        pendingRequests.add(job, Placement.resourceRequest(spec, Placement.zoneRule(job, spec), allZones, count))
    }

    private fun preemptFor(
        job: Job,
        spec: JobSpec,
        count: Int,
        now: Long,
    ) {
        val zoneRule = Placement.zoneRule(job, spec)
        val queue = queues.queueOf(job)
        if (misses.isWithoutVictims(spec, zoneRule, queue)) return
        repeat(minOf(count, Preemption.MAX_PREEMPTIONS_PER_CYCLE)) {
            if (!preemption.freeCapacityFor(OwnPlacementRequest(spec, zoneRule, queue), now)) {
                misses.addWithoutVictims(spec, zoneRule, queue)
                return
            }
        }
    }
}
