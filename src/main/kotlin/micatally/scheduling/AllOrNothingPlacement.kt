package micatally.scheduling

import micatally.gang.Gang
import micatally.gang.GangAssignment
import micatally.gang.GangCandidate
import micatally.gang.GangPhase
import micatally.gang.GangPlacement
import micatally.job.Job
import micatally.settings.Settings
import micatally.wire.JobSpec
import micatally.wire.ResourceRequest
import micatally.worker.Machine

/**
 * Places the tasks of gangs, and of services that must be in one zone, all at once or not at all.
 *
 * @param onNoCapacity receives the resource request of a job whose tasks did not all find free capacity
 */
class AllOrNothingPlacement(
    private val settings: Settings,
    private val view: ClusterView,
    private val actions: PlacementActions,
    private val onNoCapacity: (Job, ResourceRequest) -> Unit,
) {
    /**
     * Places a new run of a gang, or replacements for tasks that a waiting run has lost.
     *
     * @param maxAttempts how many more attempts the job may have
     */
    fun placeGang(
        job: Job,
        spec: JobSpec,
        gang: Gang,
        maxAttempts: Int,
        now: Long,
    ) {
        val missing = job.pending(spec.taskCount)
        val isReplacing = gang.phase == GangPhase.WAITING
        val mayPlace = if (isReplacing) actions.gangs.mayReplace(job, gang, now) else gang.phase == GangPhase.PLACING
        if (missing.isEmpty() || !mayPlace || missing.size > maxAttempts) return
        if (isReplacing) {
            placeReplacements(job, spec, gang, missing, now)
        } else {
            placeWhole(job, spec, missing, now) { job.nextAttempt++.also { gang.beginRun(it) } }
        }
    }

    /** Replacements whose image would arrive after the other workers stop waiting are useless: the run is given up. */
    private fun placeReplacements(
        job: Job,
        spec: JobSpec,
        gang: Gang,
        missing: List<Int>,
        now: Long,
    ) {
        val assignment = placeWhole(job, spec, missing, now) { gang.runNumber } ?: return
        val waitedMs = gang.waitingSinceMs?.let { now - it } ?: 0L
        val isTooLate = waitedMs + assignment.imagePullS * MS_PER_S * PULL_TIME_MARGIN > settings.gangWaitMs
        if (isTooLate) actions.gangs.giveUpRun(job, "a replacement needs ${assignment.imagePullS} s")
    }

    /**
     * Places all of these tasks, in one zone if the job demands it, or none of them.
     *
     * @param attemptNumber gives the number that the attempts share; called only when every task has found a machine
     * @return the chosen machines; null if none was placed
     */
    fun placeWhole(
        job: Job,
        spec: JobSpec,
        tasks: List<Int>,
        now: Long,
        attemptNumber: () -> Long,
    ): GangAssignment<Machine>? {
        if (!actions.isWithinQuota(job, tasks.size)) return null
        val zoneRule = Placement.zoneRule(job, spec)
        val candidates = MachineSelector(view, job, spec, now).gangCandidates().filter { mayTake(job.gang, tasks, it) }
        val assignment = GangPlacement.choose(candidates, tasks.size, spec.together) { zoneRule.remainingIn(it) }
        if (assignment == null) {
            onNoCapacity(job, requestFor(spec, zoneRule, tasks.size, candidates, now))
            return null
        }
        val number = attemptNumber()
        for ((index, taskIndex) in tasks.withIndex()) {
            actions.createAttempt(job, taskIndex, assignment.machines[index].machine, number)
        }
        actions.requestWrite(job)
        return assignment
    }

    /** A machine ignores a second command for the same task of the same run, so a replacement must go to another one. */
    private fun mayTake(
        gang: Gang?,
        tasks: List<Int>,
        candidate: GangCandidate<Machine>,
    ): Boolean {
        if (gang == null || gang.phase != GangPhase.WAITING) return true
        return tasks.none { gang.wasTried(it, candidate.machine.name) }
    }

    /**
     * The resource request for tasks that must be in one zone names a single zone: the one where most of them fit already, or,
     * where none fits anywhere, each zone in turn.
     */
    private fun requestFor(
        spec: JobSpec,
        zoneRule: ZoneRule,
        count: Int,
        candidates: List<GangCandidate<Machine>>,
        now: Long,
    ): ResourceRequest {
        val request = Placement.resourceRequest(spec, zoneRule, settings.zones, count)
        if (!spec.together || request.zones.isEmpty()) return request
        val fitting = candidates.groupBy { it.zone }.mapValues { (_, list) -> list.sumOf { minOf(it.capacity, count) } }
        val turnMs = view.machines.bootMs(null) * BOOTS_PER_ZONE
        val turn = (now / turnMs % request.zones.size).toInt()
        val fullest = request.zones.maxBy { fitting[it] ?: 0 }
        val zone = if ((fitting[fullest] ?: 0) > 0) fullest else request.zones[turn]
        val missing = maxOf(1, count - (fitting[zone] ?: 0))
        return request.copy(zones = listOf(zone), count = missing, zoneLimits = emptyList())
    }

    private companion object {
        const val MS_PER_S = 1000

        /** Pull rates differ by a third, and images that are pulled at the same time share the rate. */
        const val PULL_TIME_MARGIN = 2

        /** For this many boot times machines are requested in the same zone, for a gang that must be in one zone. */
        const val BOOTS_PER_ZONE = 4
    }
}
