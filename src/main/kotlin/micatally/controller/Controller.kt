package micatally.controller

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import micatally.api.RecordReads
import micatally.api.UserApi
import micatally.api.WorkerApi
import micatally.archive.ArchiveMode
import micatally.archive.LoadedShards
import micatally.archive.RecordArchive
import micatally.archive.RecordLookup
import micatally.config.Configuration
import micatally.config.ConfigurationService
import micatally.fleet.CloudClient
import micatally.fleet.FleetManager
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.job.JobManager
import micatally.job.JobStore
import micatally.job.RecordForms
import micatally.job.ShardState
import micatally.membership.Keys
import micatally.membership.Membership
import micatally.membership.SharedKeyCache
import micatally.peer.Peers
import micatally.quota.Quota
import micatally.scheduling.PriorityQueues
import micatally.scheduling.Scheduler
import micatally.settings.Operator
import micatally.settings.Settings
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import micatally.state.Urgency
import micatally.upgrade.FormatVersion
import micatally.upgrade.Upgrade
import micatally.worker.CommandDispatcher
import micatally.worker.MachineRegistry
import micatally.worker.WorkerReach
import kotlin.random.Random

/**
 * One controller: creates all parts and connects them. Requests leave through the [HttpCaller], and time and
 * randomness come from outside, so that several controllers can run in one simulation. All calls have to come from
 * the coroutine scope's one thread.
 *
 * @param nowMs the controller's monotonic clock in milliseconds
 * @param wallMs the time of day, in milliseconds since 1970
 * @param nowNs a monotonic clock in nanoseconds, only for the measurement of CPU usage
 */
class Controller(
    private val scope: CoroutineScope,
    private val settings: Settings,
    http: HttpCaller,
    random: Random,
    private val nowMs: () -> Long,
    wallMs: () -> Long,
    operator: Operator = Operator.DEFAULT,
    nowNs: () -> Long = { nowMs() * NANOS_PER_MILLI },
) {
    private val cpuUsage = CpuUsage(nowNs)
    private val budgets = RequestBudgets(scope, settings, nowMs)
    private val stateTimeoutMs = settings.leaseMs / STATE_TIMEOUTS_PER_LEASE
    private val state =
        StateStoreClient(
            http,
            settings.stateAddr,
            budgets.stateRequests,
            budgets.stateWrites,
            stateTimeoutMs,
        )
    private val cloud =
        CloudClient(
            http,
            settings.cloudAddr,
            budgets.cloudRequests,
            settings.leaseMs / CLOUD_TIMEOUTS_PER_LEASE,
        )

    /** Leases, the fencing token and this controller's copy of the shared keys. */
    val membership =
        Membership(scope, settings, state, SharedKeyCache(), random, nowMs, operator.archiveMode == ArchiveMode.ON)

    /** All machines that this controller knows of. */
    val machines = MachineRegistry(nowMs)
    private val wantedFormat =
        if (operator.storesTeams) FormatVersion.STORED_TEAMS else FormatVersion.PACKED_RECORDS
    private val upgrade = Upgrade(scope, settings, state, membership.sharedKeys, wantedFormat) { recordFormatRaised() }

    /** The teams and their limits, as they are in force. */
    val configuration =
        ConfigurationService(scope, settings, state, membership, upgrade, http, nowMs, wallMs)
    private val forms = RecordForms(settings.stateLimits) { upgrade.isUniform }
    private val archive: RecordArchive =
        RecordArchive(scope, settings, state, membership, operator.archiveMode, loadedShards())
    private val lookup = RecordLookup(state) { archive.mayBeUsed }
    private val store =
        JobStore(
            scope,
            state,
            forms,
            settings.heartbeatIntervalMs / WRITE_RETRIES_PER_HEARTBEAT,
            settings.leaseMs / COUNT_WRITES_PER_LEASE,
            { archive.mayBeUsed },
            nowMs,
        )

    /** The jobs of the shards that this controller leads. */
    val jobManager = JobManager(scope, settings, state, membership, machines, store, nowMs, wallMs)
    private val dispatcher =
        CommandDispatcher(
            scope,
            http,
            settings,
            membership,
            machines,
            jobManager,
            jobManager.cancellations.cancelledTasks,
            nowMs,
        )
    private val quota =
        Quota(
            scope,
            state,
            membership.sharedKeys,
            configuration.teams,
            { jobManager.shards.values.filter { it.mine } },
            settings.controllers,
        ) { scheduler.requestCycle() }

    /** Decides where the tasks of [jobManager]'s jobs run. */
    val scheduler: Scheduler =
        Scheduler(
            scope,
            settings,
            jobManager,
            machines,
            store,
            quota,
            dispatcher,
            priorityQueues(operator),
            cpuUsage,
            nowMs,
        )
    private val peers = Peers(scope, http, settings, state, membership, machines, jobManager, scheduler, nowMs)
    private val reach = WorkerReach(scope, http, settings, machines, nowMs)
    private val workload = ControllerWorkload(scheduler, peers)
    private val fleetManager =
        FleetManager(scope, http, settings, state, cloud, membership, machines, workload, operator, nowMs)
    private val reads = RecordReads(lookup, budgets.userReads, budgets.maxWaitingUserReads, stateTimeoutMs)
    private val users =
        UserApi(
            settings,
            configuration.teams,
            state,
            membership,
            jobManager,
            store,
            machines,
            peers,
            scheduler,
            upgrade,
            lookup,
            reads,
            reach,
            nowMs,
        )
    private val workers =
        WorkerApi(settings, membership, machines, peers, jobManager.cancellations.cancelledTasks, nowMs)
    private val sharedKeyEvents = SharedKeyEvents(membership.sharedKeys, machines, jobManager, quota)
    private val userWorkerRouter = UserWorkerRouter(users, workers, cpuUsage)
    private val peerRouter = PeerRouter(peers, users, configuration, cpuUsage)

    /** The operators' bounds are in leases, the queues' in seconds. */
    private fun priorityQueues(operator: Operator): PriorityQueues {
        val boundsSeconds = operator.queueBounds.map { it * settings.leaseMs / MILLIS_PER_SECOND }
        return PriorityQueues(boundsSeconds, operator.promotionRatio)
    }

    private fun loadedShards() =
        object : LoadedShards {
            override fun loaded(name: String) = jobManager.shards[name]?.takeIf { it.state == ShardState.ACTIVE }
        }

    /** Whether this controller scales the fleet out and in for all. */
    val isFleetManager get() = fleetManager.isLeader

    /** Connects the parts and starts their coroutines. To be called once, before the first request is handled. */
    fun start() {
        jobManager.dispatcher = dispatcher
        configuration.start { former, next -> configurationApplied(former, next) }
        membership.shouldStepDown = { reach.mayStepDown() && peers.somePeerHasState() }
        membership.peersConfirmedAt = { peers.peersConfirmedAt() }
        jobManager.quota = quota
        jobManager.requestCycle = { scheduler.requestCycle() }
        scheduler.stateAnswers =
            { state.waitingWrites == 0 && state.get(Keys.FENCING_TOKEN, Urgency.SUMMARY) is ReadResult.Found }
        scheduler.peerRequests = { peers.demandOfPeers() }
        store.onDurable = { job, written -> jobManager.durable(job, written) }
        store.onDropped = { jobManager.forget(it) }
        store.onRecordFull = { job, attempts -> jobManager.giveUp(job, attempts) }
        jobManager.cancellations.askPeers = { peers.spread(it) }
        store.onShardLost = { l ->
            jobManager.loseShard(l)
            scope.launch { membership.refresh() }
        }
        machines.onNewIncarnation = { jobManager.newIncarnation(it) }
        machines.onMissedChange = { m ->
            if (m.attempts.isNotEmpty()) {
                m.needsStatus = true
                dispatcher.requestSync(m)
            }
        }
        machines.onTasksReported = { m, own ->
            jobManager.tasksReported(m, own)
            scheduler.requestCycle()
        }
        fleetManager.onMachineTypes = { scheduler.requestCycle() }
        peers.onRetire = { fleetManager.retire(it) }
        peers.onNews = { scheduler.requestCycle() }
        membership.onChange = { keys -> cpuUsage.of(CpuUsage.Kind.SHARED_KEYS) { sharedKeysChanged(keys) } }
        membership.onSummaries =
            { keys ->
                cpuUsage.of(CpuUsage.Kind.SHARED_KEYS) { peers.summariesChanged(keys) }
                scheduler.requestCycle()
            }
        membership.start()
        fleetManager.start()
        peers.start()
        archive.start()
        scope.launch { periodicTasks().runForever() }
    }

    /**
     * All controllers read the new record format now: a record that was full may have room for more attempts in it.
     */
    private fun recordFormatRaised() {
        for (job in jobManager.openJobs()) job.attemptLimit = Int.MAX_VALUE
        scheduler.requestCycle()
    }

    /**
     * Attempts that were decided but not sent end where a limit is exceeded now, before the version counts as
     * applied.
     */
    private fun configurationApplied(
        former: Configuration,
        next: Configuration,
    ) {
        jobManager.endUnsent { team -> former.team(team) !== next.team(team) }
        quota.limitsChanged()
        scheduler.requestCycle()
    }

    /**
     * Parts that rest on others come after them: the format, the configuration, then the shards, then single keys.
     */
    private fun sharedKeysChanged(keys: Set<String>) {
        upgrade.sharedChanged()
        configuration.sharedChanged()
        jobManager.checkShards()
        sharedKeyEvents.handleChanges(keys)
        peers.sharedChanged()
        scheduler.requestCycle()
    }

    private fun periodicTasks(): PeriodicTasks {
        val startedAtMs = nowMs()
        val cancellations = jobManager.cancellations
        val review = StateReview(membership, reach, jobManager, scheduler, machines, cpuUsage)
        val spotEvacuation = SpotEvacuation(machines, jobManager, dispatcher, settings.heartbeatIntervalMs)
        val fencingTokenRaise = FencingTokenRaise(membership, dispatcher, settings.leaseMs / 2, startedAtMs)
        val usageReport =
            CpuUsageReport(cpuUsage, machines, scheduler, quota, budgets, settings.leaseMs, startedAtMs)
        val deletedMachineRemoval = DeletedMachineRemoval(machines, settings.leaseMs)
        val unreachableMachineSearch = UnreachableMachineSearch(machines, fleetManager, peers, settings)
        return PeriodicTasks(
            tickMs = settings.heartbeatIntervalMs / TICKS_PER_HEARTBEAT,
            nowMs,
            listOf(
                PeriodicTask("state review", everyTicks = 1) { now -> review.run(now) },
                PeriodicTask("spot evacuation", everyTicks = 1) { now -> spotEvacuation.run(now) },
                PeriodicTask("fencing token raise", everyTicks = 1) { now -> fencingTokenRaise.run(now) },
                PeriodicTask("allotment release", everyTicks = 20) { quota.releaseUnused() },
                PeriodicTask("deletion record removal", everyTicks = 20) { scope.launch { fleetManager.prune() } },
                PeriodicTask("cancellation confirmation", everyTicks = 4) { now -> cancellations.follow(now) },
                PeriodicTask("CPU usage report", everyTicks = 1) { now -> usageReport.run(now) },
                PeriodicTask("unreachable machine search", everyTicks = 8) { now -> unreachableMachineSearch.run(now) },
                PeriodicTask("deleted machine removal", everyTicks = 100) { now -> deletedMachineRemoval.run(now) },
            ),
        )
    }

    /** Handles a request on the address for users and workers. */
    suspend fun handle(request: HttpRequest): HttpResponse = userWorkerRouter.route(request)

    /** Handles a request on the address for other controllers. */
    suspend fun handlePeer(request: HttpRequest): HttpResponse = peerRouter.route(request)

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val MILLIS_PER_SECOND = 1000.0

        /** Periodic tasks run in ticks; so many of them fit in the interval of workers' heartbeats. */
        const val TICKS_PER_HEARTBEAT = 4

        /** A request to the state store is given up after this part of a lease. */
        const val STATE_TIMEOUTS_PER_LEASE = 8

        /** A request to the cloud is given up after this part of a lease. */
        const val CLOUD_TIMEOUTS_PER_LEASE = 2

        /** A write of a job record that failed is repeated after this part of a heartbeat interval. */
        const val WRITE_RETRIES_PER_HEARTBEAT = 4

        /** Counts of finished tasks are written once in this part of a lease. */
        const val COUNT_WRITES_PER_LEASE = 10
    }
}
