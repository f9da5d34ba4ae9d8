package micatally.scheduling

import micatally.job.Job
import micatally.wire.JobSpec

/** Decides what happens for tasks that found no machine: a resource request is recorded, and other tasks may be preempted. */
class UnplacedTasks(
    private val allZones: List<String>,
    private val view: ClusterView,
    private val queues: PriorityQueues,
    private val preemption: Preemption,
    private val misses: CapacityMisses,
    private val pendingRequests: PendingRequests,
) {
    /** Handles [count] tasks of the job, all of which want the same kind of machine. */
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

    /** For a job that fails everywhere nothing is preempted, and nothing rented while machines of its kind exist. */
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
