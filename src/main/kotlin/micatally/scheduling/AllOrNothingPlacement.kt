package micatally.scheduling

import micatally.gang.Gang
import micatally.gang.GangAssignment
import micatally.gang.GangCandidate
import micatally.gang.GangPhase
import micatally.gang.GangPlacement
import micatally.job.Job
import micatally.job.JobManager
import micatally.job.JobStore
import micatally.quota.Quota
import micatally.settings.Settings
import micatally.wire.JobSpec
import micatally.wire.ResourceRequest
import micatally.worker.Machine

/** Places the tasks of gangs, and of services that must be in one zone, all at once or not at all. */
class AllOrNothingPlacement(
    private val settings: Settings,
    private val view: ClusterView,
    private val jobManager: JobManager,
    private val store: JobStore,
    private val quota: Quota,
    private val onNoRoom: (Job, ResourceRequest) -> Unit,
) {
    /** A whole run of a gang, or tasks that a run which waits has lost. */
    fun placeGang(
        job: Job,
        spec: JobSpec,
        gang: Gang,
        room: Int,
        now: Long,
    ): Boolean {
        val missing = job.pending(spec.taskCount)
        val isReplacing = gang.phase == GangPhase.WAITING
        val mayPlace = if (isReplacing) jobManager.gangs.mayReplace(job, gang, now) else gang.phase == GangPhase.PLACING
        if (missing.isEmpty() || !mayPlace || missing.size > room) return true
        if (!isReplacing) {
            return placeWhole(job, spec, missing, now) { job.nextAttempt++.also { gang.beginRun(it) } } !=
                null
        }
        val placed = placeWhole(job, spec, missing, now) { gang.number } ?: return false
        val waitedMs = gang.waitingSinceMs?.let { now - it } ?: 0L
        if (waitedMs + placed.fetchS * 1000 * FETCH_MARGIN >
            settings.gangWaitMs
        ) {
            jobManager.gangs.giveUp(job, "a replacement needs ${placed.fetchS} s")
        }
        return true
    }

    /** All or nothing: every one of these tasks finds room, in one zone where it has to, or none is placed; null: none. */
    fun placeWhole(
        job: Job,
        spec: JobSpec,
        tasks: List<Int>,
        now: Long,
        number: () -> Long,
    ): GangAssignment<Machine>? {
        if (!quota.allows(job, tasks.size)) return null
        val rule = Placement.zones(job, spec)
        val gang = job.gang
        val candidates =
            MachineSelector(view, job, spec, now)
                .forGang()
                .filter { c ->
                    gang == null || gang.phase != GangPhase.WAITING ||
                        tasks.none { gang.wasTried(it, c.machine.name) }
                }
        val zoneRoom = { zone: String ->
            if (spec.scatter) Placement.zoneCap(spec) - (rule.used[zone] ?: 0) else spec.taskCount
        }
        val assignment = GangPlacement.choose(candidates, tasks.size, spec.together, zoneRoom)
        if (assignment == null) {
            onNoRoom(job, demand(spec, rule, tasks.size, candidates, now))
            return null
        }
        val attempt = number()
        for ((index, task) in tasks.withIndex()) {
            jobManager.place(job, task, assignment.machines[index].machine, attempt)
        }
        store.requestWrite(job)
        return assignment
    }

    /** What is to be rented for tasks of one zone: there where most of them fit already, or in turn where none do. */
    private fun demand(
        spec: JobSpec,
        rule: Placement.ZoneRule,
        count: Int,
        candidates: List<GangCandidate<Machine>>,
        now: Long,
    ): ResourceRequest {
        val demand = Placement.demand(spec, rule, settings.zones, count)
        if (!spec.together || demand.zones.isEmpty()) return demand
        val fitting = candidates.groupBy { it.zone }.mapValues { (_, list) -> list.sumOf { minOf(it.capacity, count) } }
        val turn = (now / (view.machines.bootMs(null) * BOOTS_A_ZONE) % demand.zones.size).toInt()
        val fullest = demand.zones.maxBy { fitting[it] ?: 0 }
        val zone = if ((fitting[fullest] ?: 0) > 0) fullest else demand.zones[turn]
        val missing = maxOf(1, count - (fitting[zone] ?: 0))
        return demand.copy(zones = listOf(zone), count = missing, zoneRoom = emptyList())
    }

    private companion object {
        /** Rates differ by a third, and images fetched at the same time share them. */
        const val FETCH_MARGIN = 2

        /** So many boots long machines for a gang that must be in one zone are looked for in the same one. */
        const val BOOTS_A_ZONE = 4
    }
}
