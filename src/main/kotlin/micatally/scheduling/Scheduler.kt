package micatally.scheduling

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.controller.CpuUsage
import micatally.job.AttemptState
import micatally.job.Job
import micatally.job.JobManager
import micatally.job.JobStore
import micatally.quota.Quota
import micatally.settings.Settings
import micatally.wire.JobSpec
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.worker.CommandDispatcher
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** Decision rounds: from the top queue down, skipping what finds no room. They run on events, with a budget of time
 * for each, and the next one goes on where the last one stopped. */
class Scheduler(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val jobManager: JobManager,
    private val machines: MachineRegistry,
    private val store: JobStore,
    private val quota: Quota,
    private val dispatcher: CommandDispatcher,
    private val queues: PriorityQueues,
    private val cpuUsage: CpuUsage,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.scheduling")
    private val minGapMs = maxOf(5L, settings.heartbeatIntervalMs / 40)
    private val cycleBudgetMs = maxOf(5L, settings.heartbeatIntervalMs / 40)
    private var isCycleRequested = false
    private var lastCycleAt = 0L
    private var nextCycleAt = 0L
    private var resumeAfter: String? = null

    /** What other owners could not place. An owner can stop only its own tasks, and does so for them too. */
    var peerRequests: () -> List<ResourceRequest> = { emptyList() }
    private val view = ClusterView(settings, machines)
    private val preemption = Preemption(settings, view, queues, dispatcher)
    private val migration = ReplicaMigration(scope, settings, view, jobManager, store, quota, dispatcher, nowMs)
    private val allOrNothing =
        AllOrNothingPlacement(settings, view, jobManager, store, quota) { job, request ->
            pendingInCycle[job.jobId] = request
            if (request.isGang) view.addOwnGangRequest(request)
        }

    /** Whether the state service answers now, and no write of this node waits. */
    var stateAnswers: suspend () -> Boolean
        get() = migration.stateAnswers
        set(value) {
            migration.stateAnswers = value
        }

    fun migrateReplicas(now: Long) {
        if (unplaced.isEmpty()) migration.migrateReplicas(now)
    }

    /** What found no room in the last full round, by job. A round that has not come to its end yet does not show. */
    var unplaced: Map<String, ResourceRequest> = emptyMap()
        private set
    private var pendingInCycle = LinkedHashMap<String, ResourceRequest>()

    /** What a waiting task looks like to the machines. Within one round room only shrinks, so what found none is not
     * looked for again: with hundreds of machines and waiters the search would take the whole of the processor. */
    private data class TaskShape(
        val resources: Resources,
        val types: Set<String>?,
        val zones: List<String>,
        val spot: Boolean,
        val service: Boolean,
        val priority: Int,
    )

    private val shapesWithoutCapacity = HashSet<TaskShape>()
    private val shapesWithoutVictims = HashSet<Pair<TaskShape, Int>>()

    private fun shapeOf(
        spec: JobSpec,
        zoneRule: Placement.ZoneRule,
    ) = TaskShape(
        spec.resources,
        spec.types,
        settings.zones.filter {
            zoneRule.allows(it)
        },
        spec.spot,
        spec.isService,
        spec.priority.ordinal,
    )

    fun requestCycle() {
        if (isCycleRequested) return
        isCycleRequested = true
        scope.launch {
            val wait = nextCycleAt - nowMs()
            if (wait > 0) delay(wait)
            isCycleRequested = false
            cpuUsage.of(CpuUsage.Kind.ROUND) { runCycle() }
        }
    }

    private fun jobsInOrder(): List<Job> =
        jobManager
            .openJobs()
            .filter { it.pendingCount > 0 }
            .sortedWith(
                compareBy<Job>(
                    { queues.queueOf(it) },
                    { it.spec?.priority?.ordinal ?: 9 },
                    { effectiveArrivalMs(it) },
                    { it.jobId },
                ),
            )

    /** Within a queue the earlier job comes first, and of jobs that came together the one with fewer tasks left: it is over
     * sooner, and the other one hardly later. */
    private fun effectiveArrivalMs(job: Job): Long =
        job.submittedAt +
            if (job.spec?.isService !=
                false
            ) {
                0L
            } else {
                (job.taskCount - job.doneCount).toLong() * settings.leaseMs / REMAINING_TASKS_PER_LEASE
            }

    private fun runCycle() {
        val now = nowMs()
        addWaitingTime(now)
        lastCycleAt = now
        shapesWithoutCapacity.clear()
        shapesWithoutVictims.clear()
        val jobs = jobsInOrder()
        var first = resumeAfter?.let { jobId -> jobs.indexOfFirst { it.jobId == jobId } + 1 } ?: 0
        if (first >= jobs.size) first = 0
        if (first == 0) {
            pendingInCycle.clear()
            view.clearOwnGangRequests()
            preemption.beginCycle()
        }
        view.beginCycle(peerRequests(), now)
        resumeAfter = null
        for (index in first until jobs.size) {
            if (index == first ||
                !haveSamePriority(jobs[index - 1], jobs[index])
            ) {
                placeOnMachinesWithImage(jobs, index, now)
            }
            placeJob(jobs[index], now)
            if (nowMs() - now > cycleBudgetMs && index + 1 < jobs.size) {
                resumeAfter = jobs[index].jobId
                break
            }
        }
        view.endCycle()
        if (resumeAfter == null) {
            unplaced = pendingInCycle
            pendingInCycle = LinkedHashMap()
        }
        preemption.freeCapacityForPeers(now)
        // Rounds keep to a share of the time, however long they take.
        val end = nowMs()
        nextCycleAt = maxOf(now + minGapMs, end + (end - now) * PAUSE_PER_CYCLE_TIME)
        if (resumeAfter != null) requestCycle()
    }

    private fun haveSamePriority(
        left: Job,
        right: Job,
    ) = queues.queueOf(left) == queues.queueOf(right) && left.spec?.priority == right.spec?.priority

    /** Among arrays of one queue and priority a room goes first to those whose image is there: a fetch takes about as long
     * as a third of a task, during which the room does nothing. */
    private fun placeOnMachinesWithImage(
        jobs: List<Job>,
        first: Int,
        now: Long,
    ) {
        var end = first + 1
        while (end < jobs.size && haveSamePriority(jobs[first], jobs[end])) end++
        if (end - first < 2) return
        for (index in first until end) {
            val spec = jobs[index].spec ?: continue
            if (spec.isService || spec.isPlacedWhole ||
                shapeOf(spec, Placement.zoneRule(jobs[index], spec)) in shapesWithoutCapacity
            ) {
                continue
            }
            placeJob(jobs[index], now, true)
            if (nowMs() - now > cycleBudgetMs) return
        }
    }

    private fun addWaitingTime(now: Long) {
        val step = now - lastCycleAt
        if (lastCycleAt == 0L || step <= 0) return
        for (job in jobManager.openJobs()) {
            if (job.pendingCount > 0 &&
                job.attempts.values.none { it.state >= AttemptState.RUNNING }
            ) {
                job.waitedMs += step
            }
        }
    }

    /** How many more tasks of the job may be placed. One that fails everywhere is tried with a single task at a time. */
    private fun remainingAttempts(job: Job): Int {
        if (job.health.isSuspect &&
            job.spec?.isPlacedWhole == false
        ) {
            return MAX_ATTEMPTS_OF_SUSPECT_JOB - job.attempts.size
        }
        val maxAttempts = minOf(settings.stateLimits.attemptsOfOneJob(machines.byName.size), job.attemptLimit)
        val remaining = maxAttempts - job.attempts.size
        if (remaining <= 0 && job.pendingCount > 0 && !job.isBoundLogged) {
            job.isBoundLogged = true
            log.warn(
                "job {}: {} of {} tasks at once, as many as its record holds",
                job.jobId,
                maxAttempts,
                job.taskCount,
            )
        }
        return remaining
    }

    /** Places what can be placed of one job. Returns whether all of it found room. */
    fun placeJob(
        job: Job,
        now: Long,
        withImage: Boolean = false,
    ): Boolean {
        val spec = job.spec ?: return true
        if (!job.wantsTasks || now < job.retryAt) return true
        val remaining = remainingAttempts(job)
        if (remaining <= 0) return true
        job.gang?.let { return allOrNothing.placeGang(job, spec, it, remaining, now) }
        if (spec.isService) migration.placeMigrated(job, spec, now)
        if (!spec.isPlacedWhole && shapeOf(spec, Placement.zoneRule(job, spec)) in shapesWithoutCapacity &&
            quota.allows(job)
        ) {
            recordUnplaced(job, spec, 1, now)
            return false
        }
        val pending =
            job.pending(
                if (spec.isService) spec.taskCount.coerceAtMost(remaining) else minOf(remaining, MAX_TASKS_PER_CYCLE),
            )
        if (pending.isEmpty()) return true
        if (spec.isPlacedWhole) return allOrNothing.placeWhole(job, spec, pending, now) { job.nextAttempt++ } != null
        var placed = 0
        var isBlocked = false
        val selector = MachineSelector(view, job, spec, now, withImage)
        for (taskIndex in pending) {
            if (!quota.allows(job)) {
                isBlocked = true
                break
            }
            val machine = selector.next()
            if (machine == null) {
                if (selector.isDeferred ||
                    withImage
                ) {
                    isBlocked = true
                } else if (job.health.machines.isEmpty()) {
                    shapesWithoutCapacity.add(shapeOf(spec, selector.zoneRule))
                }
                break
            }
            jobManager.place(job, taskIndex, machine)
            placed++
        }
        val queue = queues.queueOf(job)
        if (placed > 0) {
            job.queue = queue
            store.touch(job, true)
        }
        if (placed < pending.size && !isBlocked) {
            recordUnplaced(job, spec, pending.size - placed, now)
            return false
        }
        if (placed == pending.size && job.pendingCount > 0) requestCycle()
        return !isBlocked
    }

    private fun recordUnplaced(
        job: Job,
        spec: JobSpec,
        count: Int,
        now: Long,
    ) {
        // Nothing is stopped for a job that fails everywhere, and nothing rented while machines of its kind are there.
        if (job.health.isSuspect) {
            val hasMachines = machines.byName.values.any { view.isUsable(it, now) && Placement.mayUse(spec, it) }
            if (!hasMachines) recordPending(job, spec, MAX_ATTEMPTS_OF_SUSPECT_JOB)
            return
        }
        recordPending(job, spec, job.pendingCount)
        val zoneRule = Placement.zoneRule(job, spec)
        val queue = queues.queueOf(job)
        val key = shapeOf(spec, zoneRule) to queue
        if (key in shapesWithoutVictims) return
        for (index in 0 until minOf(count, Preemption.MAX_PREEMPTIONS_PER_CYCLE)) {
            if (!preemption.freeCapacityFor(PlacementRequest.of(spec, zoneRule, queue), now)) {
                shapesWithoutVictims.add(key)
                break
            }
        }
    }

    private fun recordPending(
        job: Job,
        spec: JobSpec,
        count: Int,
    ) {
        pendingInCycle[job.jobId] =
            Placement.resourceRequest(spec, Placement.zoneRule(job, spec), settings.zones, count)
    }

    private companion object {
        const val MAX_TASKS_PER_CYCLE = 100
        const val MAX_ATTEMPTS_OF_SUSPECT_JOB = 1

        /** How much longer the pause after a round is than the round. */
        const val PAUSE_PER_CYCLE_TIME = 3

        /** So many tasks left put a job behind one that came a lease later. */
        const val REMAINING_TASKS_PER_LEASE = 8
    }
}
