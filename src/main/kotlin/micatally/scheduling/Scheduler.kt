package micatally.scheduling

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.controller.CpuUsage
import micatally.job.AttemptState
import micatally.job.Job
import micatally.settings.Settings
import micatally.wire.ResourceRequest

/**
 * Runs the scheduling cycles of this controller. A cycle visits the jobs with pending tasks in [JobOrder] and places what
 * finds free capacity. Cycles are started by events, have a time budget, and a cycle that exceeds it is continued by the
 * next one after the job where it stopped.
 *
 * @param stateStoreAnswers whether the state store answers now and no write of this controller is queued
 */
class Scheduler(
    private val scope: CoroutineScope,
    settings: Settings,
    private val view: ClusterView,
    private val actions: PlacementActions,
    queues: PriorityQueues,
    stateStoreAnswers: suspend () -> Boolean,
    private val cpuUsage: CpuUsage,
    private val nowMs: () -> Long,
) {
    private val minGapMs = maxOf(MIN_CYCLE_MS, settings.heartbeatIntervalMs / CYCLES_PER_HEARTBEAT)
    private val cycleBudgetMs = maxOf(MIN_CYCLE_MS, settings.heartbeatIntervalMs / CYCLES_PER_HEARTBEAT)
    private var isCycleRequested = false
    private var lastCycleAt = 0L
    private var nextCycleAt = 0L

    /** The job after which the next cycle continues; null: it starts a new pass over all jobs. */
    private var resumeAfter: String? = null

    private val order = JobOrder(queues, settings.leaseMs)
    private val misses = CapacityMisses(settings.zones)
    private val requests = PendingRequests()
    private val preemption = Preemption(settings, view, queues, actions)
    private val migration = ReplicaMigration(scope, settings, view, actions, stateStoreAnswers, nowMs)
    private val allOrNothing =
        AllOrNothingPlacement(settings, view, actions) { job, request ->
            requests.add(job, request)
            if (request.isGang) view.addOwnGangRequest(request)
        }
    private val unplacedTasks = UnplacedTasks(settings.zones, view, queues, preemption, misses, requests)
    private val placement =
        JobPlacement(settings, view, actions, queues, migration, allOrNothing, misses, unplacedTasks)

    /** The resource requests of jobs that found no free capacity in the last complete pass, by job id. */
    val pendingRequests: Map<String, ResourceRequest> get() = requests.latest

    /** Moves replicas off draining machines, unless the free capacity is needed for pending tasks. */
    fun migrateReplicas(now: Long) {
        if (pendingRequests.isEmpty()) migration.migrateReplicas(now)
    }

    /** Starts a cycle soon. Requests that come before it has started are served by the same cycle. */
    fun requestCycle() {
        if (isCycleRequested) return
        isCycleRequested = true
        scope.launch {
            val waitMs = nextCycleAt - nowMs()
            if (waitMs > 0) delay(waitMs)
            isCycleRequested = false
            cpuUsage.of(CpuUsage.Kind.SCHEDULING) { runCycle() }
        }
    }

    /** Places what can be placed of one job at once, outside of a cycle. Nothing is sent before the job is durable. */
    fun placeJob(
        job: Job,
        now: Long,
    ) = placeJob(job, now, ImagePreference.ANY_MACHINE)

    private fun placeJob(
        job: Job,
        now: Long,
        imagePreference: ImagePreference,
    ) {
        if (placement.place(job, now, imagePreference)) requestCycle()
    }

    private fun runCycle() {
        val now = nowMs()
        addWaitingTime(now)
        lastCycleAt = now
        misses.clear()
        val jobs = order.sorted(actions.openJobs().filter { it.pendingCount > 0 })
        val first = resumeIndex(jobs)
        if (first == 0) beginPass()
        view.beginCycle(now)
        resumeAfter = placeJobs(jobs, first, now)
        view.endCycle()
        if (resumeAfter == null) requests.endPass()
        preemption.freeCapacityForPeers(now)
        scheduleNext(now)
        if (resumeAfter != null) requestCycle()
    }

    private fun resumeIndex(jobs: List<Job>): Int {
        val jobId = resumeAfter ?: return 0
        val index = jobs.indexOfFirst { it.jobId == jobId } + 1
        return if (index < jobs.size) index else 0
    }

    private fun beginPass() {
        requests.beginPass()
        view.clearOwnGangRequests()
        preemption.beginPass()
    }

    /** Returns the id of the last job visited if the time budget was used up before the end, or else null. */
    private fun placeJobs(
        jobs: List<Job>,
        first: Int,
        now: Long,
    ): String? {
        for (index in first until jobs.size) {
            val isFirstOfPriority = index == first || !order.haveSamePriority(jobs[index - 1], jobs[index])
            if (isFirstOfPriority) placeOnMachinesWithImage(jobs, index, now)
            placeJob(jobs[index], now)
            val hasMore = index + 1 < jobs.size
            if (isOverBudget(now) && hasMore) return jobs[index].jobId
        }
        return null
    }

    private fun isOverBudget(cycleStartMs: Long) = nowMs() - cycleStartMs > cycleBudgetMs

    /**
     * Among arrays of the same queue and priority, free capacity goes first to those whose image is on the machine: pulling an
     * image takes about a third of a task's run time, during which the capacity is idle.
     */
    private fun placeOnMachinesWithImage(
        jobs: List<Job>,
        first: Int,
        now: Long,
    ) {
        var end = first + 1
        while (end < jobs.size && order.haveSamePriority(jobs[first], jobs[end])) end++
        if (end - first < 2) return
        for (index in first until end) {
            if (!isSearchedByImage(jobs[index])) continue
            placeJob(jobs[index], now, ImagePreference.ONLY_WITH_IMAGE)
            if (isOverBudget(now)) return
        }
    }

    private fun isSearchedByImage(job: Job): Boolean {
        val spec = job.spec ?: return false
        if (spec.isService || spec.isPlacedWhole) return false
        return !misses.isWithoutCapacity(spec, Placement.zoneRule(job, spec))
    }

    /** Jobs that wait without any running task gain waiting time, by which they may be promoted to a higher queue. */
    private fun addWaitingTime(now: Long) {
        val elapsedMs = now - lastCycleAt
        if (lastCycleAt == 0L || elapsedMs <= 0) return
        for (job in actions.openJobs()) {
            val isWaiting = job.pendingCount > 0 && job.attempts.values.none { it.state >= AttemptState.RUNNING }
            if (isWaiting) job.waitedMs += elapsedMs
        }
    }

    /** However long cycles take, they use no more than a fixed share of the time. */
    private fun scheduleNext(cycleStartMs: Long) {
        val endMs = nowMs()
        nextCycleAt = maxOf(cycleStartMs + minGapMs, endMs + (endMs - cycleStartMs) * PAUSE_PER_CYCLE_TIME)
    }

    private companion object {
        const val MIN_CYCLE_MS = 5L

        /** Cycles begin at most this many times in a heartbeat interval, and each may take that share of it. */
        const val CYCLES_PER_HEARTBEAT = 40

        /** How many times longer than the cycle the pause after it is. */
        const val PAUSE_PER_CYCLE_TIME = 3
    }
}
