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
import micatally.wire.ZoneOption
import micatally.worker.Machine

/**
 * Places the tasks of a gang, or of a service whose replicas must share one zone, either all at once or not at all.
 *
 * @param onNoCapacity called with the job and its resource request when there is no free capacity for all the tasks
 */
class AllOrNothingPlacement(
    private val settings: Settings,
    private val view: ClusterView,
    private val actions: PlacementActions,
    private val onNoCapacity: (Job, ResourceRequest) -> Unit,
) {
    /**
     * Places all tasks of a new run of a gang. If a run is waiting and has lost tasks, places replacements for those.
     *
     * @param maxAttempts how many more attempts the job may have; nothing is placed if more tasks than this are missing
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
            placeAllOrNone(job, spec, missing, now) { job.nextAttempt++.also { gang.beginRun(it) } }
        }
    }

    /**
     * Places replacements for the [missing] tasks of a waiting run. If their image may arrive only after the other
     * workers have stopped waiting, the replacements are useless, and the run is given up.
     */
    private fun placeReplacements(
        job: Job,
        spec: JobSpec,
        gang: Gang,
        missing: List<Int>,
        now: Long,
    ) {
        val assignment = placeAllOrNone(job, spec, missing, now) { gang.runNumber } ?: return
        val waitedMs = gang.waitingSinceMs?.let { now - it } ?: 0L
        val isTooLate = waitedMs + assignment.imagePullS * MS_PER_S * PULL_TIME_FACTOR > settings.gangWaitMs
        if (isTooLate) actions.gangs.giveUpRun(job, "a replacement needs ${assignment.imagePullS} s to pull its image")
    }

    /**
     * Places all of [tasks], in one zone if the job demands it, or none of them.
     *
     * @param attemptNumber returns the number that the attempts share; called only if every task has found a machine
     * @return the chosen machines; null if nothing was placed
     */
    fun placeAllOrNone(
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
            onNoCapacity(job, requestFor(job, spec, zoneRule, tasks.size, candidates, now))
            return null
        }
        val number = attemptNumber()
        for ((index, taskIndex) in tasks.withIndex()) {
            actions.createAttempt(job, taskIndex, assignment.machines[index].machine, number)
        }
        actions.requestWrite(job)
        return assignment
    }

    /**
     * Whether the machine may take replacements for all of [tasks]. A machine ignores a second command for the same
     * task of the same run, so a replacement must go to a machine that this task was not assigned to in the run.
     */
    private fun mayTake(
        gang: Gang?,
        tasks: List<Int>,
        candidate: GangCandidate<Machine>,
    ): Boolean {
        if (gang == null || gang.phase != GangPhase.WAITING) return true
        return tasks.none { gang.wasTried(it, candidate.machine.name) }
    }

    /**
     * Builds the resource request for tasks that could not be placed. If they must share one zone, the request tells for
     * each zone how many of them do not fit there. The fleet manager chooses one, since it knows which offers the cloud
     * refuses.
     */
    private fun requestFor(
        job: Job,
        spec: JobSpec,
        zoneRule: ZoneRule,
        count: Int,
        candidates: List<GangCandidate<Machine>>,
        now: Long,
    ): ResourceRequest {
        val request = Placement.resourceRequest(spec, zoneRule, settings.zones, count)
        if (!spec.together || request.zones.isEmpty()) return request
        val fitting = candidates.groupBy { it.zone }.mapValues { (_, list) -> list.sumOf { minOf(it.capacity, count) } }
        val options = request.zones.map { zone -> ZoneOption(zone, maxOf(1, count - (fitting[zone] ?: 0))) }
        val preferred =
            options.maxBy { fitting[it.zone] ?: 0 }.takeIf { it.zone in fitting } ?: zoneInTurn(options, now)
        val inPreferredZone =
            request.copy(
                zones = listOf(preferred.zone),
                count = preferred.count,
                zoneLimits = emptyList(),
            )
        return if (options.size ==
            1
        ) {
            inPreferredZone
        } else {
            inPreferredZone.copy(jobId = job.jobId, zoneOptions = options)
        }
    }

    /** The zones take turns in the requests for tasks that fit nowhere. */
    private fun zoneInTurn(
        options: List<ZoneOption>,
        now: Long,
    ): ZoneOption {
        val zoneTurnMs = view.machines.bootMs(null) * BOOT_TIMES_PER_ZONE
        return options[(now / zoneTurnMs % options.size).toInt()]
    }

    private companion object {
        const val MS_PER_S = 1000

        /**
         * Factor on the estimated pull time of an image. The pull rates of machines differ by a third, and images that
         * a machine pulls at the same time share its rate.
         */
        const val PULL_TIME_FACTOR = 2

        /**
         * How many machine boot times each zone's turn takes in requests for tasks that must share a zone and fit
         * nowhere.
         */
        const val BOOT_TIMES_PER_ZONE = 4
    }
}
