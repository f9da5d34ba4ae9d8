package micatally.scheduling

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.controller.CpuUsage
import micatally.job.AttemptState
import micatally.job.Job
import micatally.settings.Settings
import micatally.wire.ResourceRequest

/**
 * Runs the scheduling cycles of this controller. A cycle visits the jobs with pending tasks in [JobOrder] and places
 * the tasks that find free capacity. Events start cycles. Each cycle has a time budget. A cycle that exceeds it stops,
 * and the next one continues with the following job. Such a sequence of cycles over all jobs is called a pass.
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
    private val minCycleIntervalMs = maxOf(MIN_CYCLE_MS, settings.heartbeatIntervalMs / CYCLES_PER_HEARTBEAT)
    private val cycleBudgetMs = maxOf(MIN_CYCLE_MS, settings.heartbeatIntervalMs / CYCLES_PER_HEARTBEAT)
    private var isCycleRequested = false
    private var lastCycleStartMs = 0L
    private var nextCycleStartMs = 0L

    /**
     * The id of the job after which the next cycle continues. If null, the next cycle starts a new pass over all jobs.
     */
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

    /** Migrates replicas off draining machines, unless pending tasks need the free capacity. */
    fun migrateReplicas(now: Long) {
        if (pendingRequests.isEmpty()) migration.migrateReplicas(now)
    }

    /** Starts a cycle soon. Requests that arrive before it has started are served by the same cycle. */
    fun requestCycle() {
        if (isCycleRequested) return
        isCycleRequested = true
        scope.launch(CoroutineName("scheduling cycle")) {
            try {
                val waitMs = nextCycleStartMs - nowMs()
                if (waitMs > 0) delay(waitMs)
            } finally {
                isCycleRequested = false
            }
            cpuUsage.measure(CpuUsage.Kind.SCHEDULING) { runCycle() }
        }
    }

    /**
     * Places the tasks of one job that find free capacity, outside of a cycle. No command is sent before the job is
     * durable.
     */
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
        lastCycleStartMs = now
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

    /** The index of the job to start the cycle with; 0 if a new pass begins. */
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

    /** Returns the id of the last job visited if the time budget was used up before the last job, or else null. */
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
     * Places tasks of arrays with the same queue and priority on machines that already have their image. This comes
     * first because pulling an image takes about a third of a task's run time, during which the capacity is idle.
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
        if (spec.isService || spec.isAllOrNothing) return false
        return !misses.isWithoutCapacity(spec, Placement.zoneRule(job, spec))
    }

    /**
     * Adds the time since the last cycle to the waiting time of each job that has pending tasks and no running one.
     * Jobs are promoted to a higher queue by their waiting time.
     */
    private fun addWaitingTime(now: Long) {
        val elapsedMs = now - lastCycleStartMs
        if (lastCycleStartMs == 0L || elapsedMs <= 0) return
        for (job in actions.openJobs()) {
            val isWaiting = job.pendingCount > 0 && job.attempts.values.none { it.state >= AttemptState.RUNNING }
            if (isWaiting) job.waitedMs += elapsedMs
        }
    }

    /**
     * Sets the earliest start of the next cycle. The pause grows with the time that the cycle took, so that cycles
     * never use more than a fixed share of the time.
     */
    private fun scheduleNext(cycleStartMs: Long) {
        val endMs = nowMs()
        nextCycleStartMs = maxOf(cycleStartMs + minCycleIntervalMs, endMs + (endMs - cycleStartMs) * PAUSE_RATIO)
    }

    private companion object {
        /** The smallest time between the starts of two cycles, and the smallest time budget of a cycle. */
        const val MIN_CYCLE_MS = 5L

        /** The maximum number of cycles per heartbeat interval. A cycle's time budget is the interval divided by it. */
        const val CYCLES_PER_HEARTBEAT = 40

        /** How many times as long as the cycle the pause after it is, at least. */
        const val PAUSE_RATIO = 3
    }
}
