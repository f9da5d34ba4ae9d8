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
    private val gapMs = maxOf(5L, settings.heartbeatIntervalMs / 40)
    private val budgetMs = maxOf(5L, settings.heartbeatIntervalMs / 40)
    private var asked = false
    private var lastAt = 0L
    private var nextAt = 0L
    private var resumeAfter: String? = null

    /** What other owners could not place. An owner can stop only its own tasks, and does so for them too. */
    var peerRequests: () -> List<ResourceRequest> = { emptyList() }
    private val view = ClusterView(settings, machines)
    private val preemption = Preemption(settings, view, queues, dispatcher)
    private val moves = ReplicaMigration(scope, settings, view, jobManager, store, quota, dispatcher, nowMs)
    private val whole =
        AllOrNothingPlacement(settings, view, jobManager, store, quota) { job, demand ->
            finding[job.jobId] = demand
            if (demand.isGang) view.gangWaits(demand)
        }

    /** Whether the state service answers now, and no write of this node waits. */
    var stateAnswers: suspend () -> Boolean
        get() = moves.stateAnswers
        set(value) {
            moves.stateAnswers = value
        }

    fun migrateReplicas(now: Long) {
        if (unplaced.isEmpty()) moves.migrateReplicas(now)
    }

    /** What found no room in the last full round, by job. A round that has not come to its end yet does not show. */
    var unplaced: Map<String, ResourceRequest> = emptyMap()
        private set
    private var finding = LinkedHashMap<String, ResourceRequest>()

    /** What a waiting task looks like to the machines. Within one round room only shrinks, so what found none is not
     * looked for again: with hundreds of machines and waiters the search would take the whole of the processor. */
    private data class Shape(
        val resources: Resources,
        val types: Set<String>?,
        val zones: List<String>,
        val spot: Boolean,
        val service: Boolean,
        val priority: Int,
    )

    private val noRoom = HashSet<Shape>()
    private val noStop = HashSet<Pair<Shape, Int>>()

    private fun shape(
        spec: JobSpec,
        rule: Placement.ZoneRule,
    ) = Shape(
        spec.resources,
        spec.types,
        settings.zones.filter {
            rule.allows(it)
        },
        spec.spot,
        spec.isService,
        spec.priority.ordinal,
    )

    fun requestCycle() {
        if (asked) return
        asked = true
        scope.launch {
            val wait = nextAt - nowMs()
            if (wait > 0) delay(wait)
            asked = false
            cpuUsage.of(CpuUsage.Kind.ROUND) { runCycle() }
        }
    }

    private fun ordered(): List<Job> =
        jobManager
            .openJobs()
            .filter { it.pendingCount > 0 }
            .sortedWith(
                compareBy<Job>({ queues.current(it) }, { it.spec?.priority?.ordinal ?: 9 }, { rank(it) }, { it.jobId }),
            )

    /** Within a queue the earlier job comes first, and of jobs that came together the one with fewer tasks left: it is over
     * sooner, and the other one hardly later. */
    private fun rank(job: Job): Long =
        job.submittedAt +
            if (job.spec?.isService !=
                false
            ) {
                0L
            } else {
                (job.taskCount - job.doneCount).toLong() * settings.leaseMs / TASKS_A_LEASE
            }

    private fun runCycle() {
        val now = nowMs()
        tickWaits(now)
        lastAt = now
        noRoom.clear()
        noStop.clear()
        val jobs = ordered()
        var from = resumeAfter?.let { r -> jobs.indexOfFirst { it.jobId == r } + 1 } ?: 0
        if (from >= jobs.size) from = 0
        if (from == 0) {
            finding.clear()
            view.forgetOwnGangs()
            preemption.beginCycle()
        }
        view.beginCycle(peerRequests(), now)
        resumeAfter = null
        for (i in from until jobs.size) {
            if (i == from || !alike(jobs[i - 1], jobs[i])) placeWhereImagesAre(jobs, i, now)
            placeJob(jobs[i], now)
            if (nowMs() - now > budgetMs && i + 1 < jobs.size) {
                resumeAfter = jobs[i].jobId
                break
            }
        }
        view.endCycle()
        if (resumeAfter == null) {
            unplaced = finding
            finding = LinkedHashMap()
        }
        preemption.makeRoomForPeers(now)
        // Rounds keep to a share of the time, however long they take.
        val end = nowMs()
        nextAt = maxOf(now + gapMs, end + (end - now) * REST)
        if (resumeAfter != null) requestCycle()
    }

    private fun alike(
        a: Job,
        b: Job,
    ) = queues.current(a) == queues.current(b) && a.spec?.priority == b.spec?.priority

    /** Among arrays of one queue and priority a room goes first to those whose image is there: a fetch takes about as long
     * as a third of a task, during which the room does nothing. */
    private fun placeWhereImagesAre(
        jobs: List<Job>,
        from: Int,
        now: Long,
    ) {
        var to = from + 1
        while (to < jobs.size && alike(jobs[from], jobs[to])) to++
        if (to - from < 2) return
        for (i in from until to) {
            val spec = jobs[i].spec ?: continue
            if (spec.isService || spec.isPlacedWhole || shape(spec, Placement.zones(jobs[i], spec)) in noRoom) continue
            placeJob(jobs[i], now, true)
            if (nowMs() - now > budgetMs) return
        }
    }

    private fun tickWaits(now: Long) {
        val step = now - lastAt
        if (lastAt == 0L || step <= 0) return
        for (j in jobManager.openJobs()) {
            if (j.pendingCount > 0 &&
                j.attempts.values.none { it.state >= AttemptState.RUNNING }
            ) {
                j.waitedMs += step
            }
        }
    }

    /** How many more tasks of the job may be placed. One that fails everywhere is tried with a single task at a time. */
    private fun attemptRoom(job: Job): Int {
        if (job.health.isSuspect && job.spec?.isPlacedWhole == false) return TASKS_OF_SUSPECT - job.attempts.size
        val most = minOf(settings.stateLimits.attemptsOfOneJob(machines.byName.size), job.attemptLimit)
        val room = most - job.attempts.size
        if (room <= 0 && job.pendingCount > 0 && !job.isBoundLogged) {
            job.isBoundLogged = true
            log.warn("job {}: {} of {} tasks at once, as many as its record holds", job.jobId, most, job.taskCount)
        }
        return room
    }

    /** Places what can be placed of one job. Returns whether all of it found room. */
    fun placeJob(
        job: Job,
        now: Long,
        withImage: Boolean = false,
    ): Boolean {
        val spec = job.spec ?: return true
        if (!job.wantsTasks || now < job.retryAt) return true
        val room = attemptRoom(job)
        if (room <= 0) return true
        job.gang?.let { return whole.placeGang(job, spec, it, room, now) }
        if (spec.isService) moves.place(job, spec, now)
        if (!spec.isPlacedWhole && shape(spec, Placement.zones(job, spec)) in noRoom &&
            quota.allows(job)
        ) {
            unplaceable(job, spec, 1, now)
            return false
        }
        val pending = job.pending(if (spec.isService) spec.taskCount.coerceAtMost(room) else minOf(room, ROUND_TASKS))
        if (pending.isEmpty()) return true
        if (spec.isPlacedWhole) return whole.placeWhole(job, spec, pending, now) { job.nextAttempt++ } != null
        var placed = 0
        var blocked = false
        val choice = MachineSelector(view, job, spec, now, withImage)
        for (taskIndex in pending) {
            if (!quota.allows(job)) {
                blocked = true
                break
            }
            val m = choice.next()
            if (m == null) {
                if (choice.deferred ||
                    withImage
                ) {
                    blocked = true
                } else if (job.health.machines.isEmpty()) {
                    noRoom.add(shape(spec, choice.rule))
                }
                break
            }
            jobManager.place(job, taskIndex, m)
            placed++
        }
        val q = queues.current(job)
        if (placed > 0) {
            job.queue = q
            store.requestWrite(job)
        }
        if (placed < pending.size && !blocked) {
            unplaceable(job, spec, pending.size - placed, now)
            return false
        }
        if (placed == pending.size && job.pendingCount > 0) requestCycle()
        return !blocked
    }

    private fun unplaceable(
        job: Job,
        spec: JobSpec,
        count: Int,
        now: Long,
    ) {
        // Nothing is stopped for a job that fails everywhere, and nothing rented while machines of its kind are there.
        if (job.health.isSuspect) {
            val hasMachines = machines.byName.values.any { view.isUsable(it, now) && Placement.kindAllowed(spec, it) }
            if (!hasMachines) note(job, spec, TASKS_OF_SUSPECT)
            return
        }
        note(job, spec, job.pendingCount)
        val rule = Placement.zones(job, spec)
        val q = queues.current(job)
        val key = shape(spec, rule) to q
        if (key in noStop) return
        for (i in 0 until minOf(count, Preemption.STOPS_A_ROUND)) {
            if (!preemption.makeRoom(PlacementRequest.of(spec, rule, q), now)) {
                noStop.add(key)
                break
            }
        }
    }

    private fun note(
        job: Job,
        spec: JobSpec,
        count: Int,
    ) {
        finding[job.jobId] = Placement.demand(spec, Placement.zones(job, spec), settings.zones, count)
    }

    private companion object {
        const val ROUND_TASKS = 100
        const val TASKS_OF_SUSPECT = 1

        /** How much longer the pause after a round is than the round. */
        const val REST = 3

        /** So many tasks left put a job behind one that came a lease later. */
        const val TASKS_A_LEASE = 8
    }
}
