package micatally.controller

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import micatally.api.AdmissionRules
import micatally.api.CancellationHandler
import micatally.api.ControllerContact
import micatally.api.HealthCheck
import micatally.api.JobDurability
import micatally.api.JobLookup
import micatally.api.QueryHandler
import micatally.api.RecordReads
import micatally.api.SubmissionHandler
import micatally.api.UserApi
import micatally.api.WorkerApi
import micatally.archive.ArchiveMode
import micatally.archive.LoadedShards
import micatally.archive.RecordArchive
import micatally.archive.RecordLookup
import micatally.config.Configuration
import micatally.config.ConfigurationService
import micatally.fleet.CloudClient
import micatally.fleet.FleetClients
import micatally.fleet.FleetManager
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.job.Attempt
import micatally.job.Clock
import micatally.job.Job
import micatally.job.JobCollaborators
import micatally.job.JobManager
import micatally.job.JobShard
import micatally.job.JobStore
import micatally.job.JobStoreListener
import micatally.job.RecordForms
import micatally.job.ShardState
import micatally.membership.Keys
import micatally.membership.Membership
import micatally.membership.MembershipConditions
import micatally.membership.MembershipListener
import micatally.ownership.OwnershipReview
import micatally.ownership.RecordCheck
import micatally.ownership.UnownedTasks
import micatally.peer.PeerListener
import micatally.peer.Peers
import micatally.quota.Quota
import micatally.scheduling.ClusterView
import micatally.scheduling.PlacementActions
import micatally.scheduling.PriorityQueues
import micatally.scheduling.Scheduler
import micatally.settings.OperatorSettings
import micatally.settings.Settings
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import micatally.state.Urgency
import micatally.supervision.launchSupervised
import micatally.upgrade.FormatVersion
import micatally.upgrade.Upgrade
import micatally.worker.CommandDispatcher
import micatally.worker.Machine
import micatally.worker.MachineListener
import micatally.worker.MachineRegistry
import micatally.worker.StatusSource
import micatally.worker.UnreachableMachines
import micatally.worker.WorkerReach
import kotlin.random.Random

/**
 * One controller: creates all its parts and connects them. Outgoing requests, the clocks and the random numbers are
 * passed in, so that several controllers can run in one simulation. All functions must be called on the single thread
 * of [scope].
 *
 * @param http sends all requests of this controller
 * @param nowMs the controller's monotonic clock, in milliseconds
 * @param wallMs the wall clock, in milliseconds since 1970
 * @param nowNs a monotonic clock in nanoseconds, used only to measure CPU usage
 */
class Controller(
    private val scope: CoroutineScope,
    private val settings: Settings,
    http: HttpCaller,
    random: Random,
    private val nowMs: () -> Long,
    wallMs: () -> Long,
    operator: OperatorSettings = OperatorSettings.DEFAULT,
    nowNs: () -> Long = { nowMs() * NANOS_PER_MILLI },
) {
    private val cpuUsage = CpuUsage(nowNs)
    private val budgets = RequestBudgets(scope, settings, nowMs)
    private val stateTimeoutMs = settings.leaseMs / STATE_TIMEOUTS_PER_LEASE
    private val stateStore =
        StateStoreClient(
            http,
            settings.stateAddr,
            budgets.stateRequests,
            budgets.stateWrites,
            stateTimeoutMs,
        )
    private val cloudClient =
        CloudClient(
            http,
            settings.cloudAddr,
            budgets.cloudRequests,
            settings.leaseMs / CLOUD_TIMEOUTS_PER_LEASE,
        )

    /** This controller's lease, the shards that it leads, the fencing token and its copy of the shared keys. */
    val membership =
        Membership(
            scope,
            settings,
            stateStore,
            random,
            nowMs,
            movesRecords = operator.archiveMode == ArchiveMode.ON,
            membershipConditions(),
            membershipListener(),
        )

    /** All machines that this controller knows of. */
    val machines = MachineRegistry(machineListener(), nowMs)
    private val targetFormat =
        if (operator.storesTeams) FormatVersion.STORED_TEAMS else FormatVersion.PACKED_RECORDS
    private val upgrade =
        Upgrade(scope, settings, stateStore, membership.sharedKeys, targetFormat) { recordFormatRaised() }

    /** The teams and their limits that are in force, and the requests to change them. */
    val configuration =
        ConfigurationService(scope, settings, stateStore, membership, upgrade, http, nowMs, wallMs) { former, next ->
            configurationApplied(former, next)
        }
    private val recordForms = RecordForms(settings.stateLimits) { upgrade.isUniform }
    private val archive: RecordArchive =
        RecordArchive(scope, settings, stateStore, membership, operator.archiveMode, loadedShards())
    private val recordLookup = RecordLookup(stateStore) { archive.mayBeUsed }
    private val jobStore =
        JobStore(
            scope,
            stateStore,
            recordForms,
            settings.heartbeatIntervalMs / WRITE_RETRIES_PER_HEARTBEAT,
            settings.leaseMs / COUNT_WRITES_PER_LEASE,
            jobStoreListener(),
            { archive.mayBeUsed },
            nowMs,
        )

    /** The jobs of the shards that this controller leads. */
    val jobManager: JobManager =
        JobManager(
            scope,
            settings,
            stateStore,
            membership,
            machines,
            jobStore,
            Clock(nowMs, wallMs),
            jobCollaborators(),
        )
    private val dispatcher: CommandDispatcher =
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

    /** Counts attempts that go on although their end was taken as proven. */
    val endedAttempts get() = dispatcher.endedAttempts
    private val quota: Quota =
        Quota(
            scope,
            stateStore,
            membership.sharedKeys,
            configuration.teams,
            { jobManager.shards.values.filter { it.isLedHere } },
            settings.controllers,
        ) { scheduler.requestCycle() }

    private val clusterView = ClusterView(settings, machines) { peers.peerDemand() }

    /** Decides where the tasks of [jobManager]'s jobs run. */
    val scheduler: Scheduler =
        Scheduler(
            scope,
            settings,
            clusterView,
            PlacementActions(jobManager, jobStore, quota, dispatcher),
            priorityQueues(operator),
            {
                stateStore.waitingWrites == 0 &&
                    stateStore.get(Keys.FENCING_TOKEN, Urgency.SUMMARY) is ReadResult.Found
            },
            cpuUsage,
            nowMs,
        )
    private val unreachableMachines = UnreachableMachines(machines, settings, { membership.contactSinceMs }, nowMs)
    private val peers: Peers =
        Peers(
            scope,
            http,
            settings,
            stateStore,
            membership,
            machines,
            unreachableMachines,
            jobManager,
            scheduler,
            peerListener(),
            nowMs,
        )
    private val workerReach = WorkerReach(scope, http, settings, machines, nowMs)
    private val fleetManager =
        FleetManager(
            scope,
            settings,
            operator,
            FleetClients(http, stateStore, cloudClient),
            membership,
            machines,
            ControllerWorkload(scheduler, peers, unreachableMachines),
            nowMs,
        )
    private val recordReads = RecordReads(recordLookup, budgets.userReads, budgets.maxWaitingUserReads, stateTimeoutMs)
    private val userApi = createUserApi()

    /** The tasks on machines that report here and whose jobs other controllers lead, or none does. */
    val unownedTasks =
        UnownedTasks(jobManager, dispatcher.tokenDemand, { membership.sharedKeys.fencingToken }, nowMs)
    private val ownershipReview =
        OwnershipReview(
            scope,
            settings,
            machines,
            membership.sharedKeys,
            unownedTasks,
            { peers.ownership.ownersOf(it) },
            RecordCheck(recordLookup, stateStore, membership.sharedKeys),
        )
    private val workerApi =
        WorkerApi(settings, membership, machines, peers, jobManager.cancellations.cancelledTasks, unownedTasks, nowMs)
    private val sharedKeyEvents = SharedKeyEvents(membership.sharedKeys, machines, jobManager, quota)
    private val userWorkerRouter = UserWorkerRouter(userApi, workerApi, cpuUsage)
    private val peerRouter = PeerRouter(peers, userApi, configuration, cpuUsage)

    /** Converts the operator's queue bounds from multiples of a worker's lease to seconds. */
    private fun priorityQueues(operator: OperatorSettings): PriorityQueues {
        val boundsSeconds = operator.queueBounds.map { it * settings.leaseMs / MILLIS_PER_SECOND }
        return PriorityQueues(boundsSeconds, operator.promotionRatio)
    }

    private fun createUserApi(): UserApi {
        val contact = ControllerContact(settings, stateStore, membership, workerReach)
        val durability = JobDurability(settings, jobStore)
        val jobLookup = JobLookup(settings, membership, jobManager, peers, recordLookup, contact)
        val admission = AdmissionRules(settings, configuration.teams, machines, upgrade)
        return UserApi(
            HealthCheck(membership, jobManager, machines, peers, contact),
            SubmissionHandler(admission, contact, jobManager, durability, scheduler, jobLookup, nowMs),
            QueryHandler(jobLookup, recordReads),
            CancellationHandler(jobManager, durability, peers, jobLookup, contact),
        )
    }

    private fun jobStoreListener() =
        object : JobStoreListener {
            override fun recordWritten(
                job: Job,
                written: List<Attempt>,
            ) = jobManager.storeOutcomes.recordWritten(job, written)

            override fun recordFull(
                job: Job,
                attempts: List<Attempt>,
            ) = jobManager.storeOutcomes.recordFull(job, attempts)

            override fun jobDropped(job: Job) = jobManager.storeOutcomes.jobDropped(job)

            override fun shardLost(shard: JobShard) = jobManager.storeOutcomes.shardLost(shard)
        }

    private fun jobCollaborators() =
        object : JobCollaborators {
            override val quota get() = this@Controller.quota

            override fun requestSync(machine: Machine) = dispatcher.requestSync(machine)

            override fun requestCycle() = scheduler.requestCycle()

            override suspend fun requestConfirmations(job: Job) = peers.cancellations.broadcastCancellation(job)
        }

    private fun machineListener(): MachineListener =
        object : MachineListener {
            override fun machineAdded(machine: Machine) = peers.machineAdded(machine)

            override fun incarnationChanged(machine: Machine) = jobManager.newIncarnation(machine)

            override fun tasksReported(
                machine: Machine,
                source: StatusSource,
            ) {
                jobManager.tasksReported(machine, source)
                scheduler.requestCycle()
            }

            override fun statusMissed(machine: Machine) {
                if (machine.attempts.isNotEmpty()) dispatcher.requestStatus(machine)
            }
        }

    private fun membershipConditions(): MembershipConditions =
        object : MembershipConditions {
            override fun shouldStepDown() = workerReach.shouldStepDown() && peers.contacts.hasStateStoreContact()

            override fun peersConfirmedAt() = peers.cancellations.confirmedByPeersAt()

            override fun mayStartTasks(viewAgeMs: Long) = configuration.live.mayStart(viewAgeMs)
        }

    private fun membershipListener(): MembershipListener =
        object : MembershipListener {
            override fun sharedKeysChanged(keys: Set<String>) =
                cpuUsage.measure(CpuUsage.Kind.SHARED_KEYS) { applySharedKeyChanges(keys) }

            override fun summariesChanged(keys: Set<String>) {
                cpuUsage.measure(CpuUsage.Kind.SHARED_KEYS) { peers.storedSummariesChanged(keys) }
                scheduler.requestCycle()
            }
        }

    private fun loadedShards() =
        object : LoadedShards {
            override fun loaded(name: String) = jobManager.shards[name]?.takeIf { it.state == ShardState.ACTIVE }
        }

    private fun peerListener(): PeerListener =
        object : PeerListener {
            override fun deletionRequested(
                machines: List<String>,
                host: String,
            ) = fleetManager.requestDeletion(machines, host)

            override fun statusUnavailable(machine: Machine) = dispatcher.requestStatus(machine)

            override fun clusterStateChanged() = scheduler.requestCycle()
        }

    /** Whether this controller is the fleet manager, which scales the fleet out and in for all controllers. */
    val isFleetManager get() = fleetManager.isLeader

    /** Starts the coroutines of all parts. Must be called once, before the first request is handled. */
    fun start() {
        membership.start()
        fleetManager.start()
        peers.start()
        archive.start()
        scope.launchSupervised("periodic tasks") { periodicTasks().runForever() }
    }

    /**
     * Called when all controllers can read the new record format. A record that was full in the former format may have
     * room for more attempts in the new one, so the limits that were found in the former format are dropped.
     */
    private fun recordFormatRaised() {
        for (job in jobManager.openJobs()) job.attemptLimit = Int.MAX_VALUE
        scheduler.requestCycle()
    }

    /**
     * Called before a new configuration version counts as applied. Ends the attempts that were not sent yet of each
     * team that was removed or whose limit is now below its allotments.
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
     * Passes changes of the shared keys on in the order in which the parts depend on each other: the record format, the
     * configuration, the shards, then what follows from single keys.
     */
    private fun applySharedKeyChanges(keys: Set<String>) {
        upgrade.sharedKeysChanged()
        configuration.sharedKeysChanged()
        jobManager.checkShards()
        sharedKeyEvents.handleChanges(keys)
        peers.sharedKeysChanged()
        scheduler.requestCycle()
    }

    private fun periodicTasks(): PeriodicTasks {
        val startedAtMs = nowMs()
        val cancellations = jobManager.cancellations
        val review = StateReview(membership, workerReach, jobManager, scheduler, machines, cpuUsage)
        val spotEvacuation = SpotEvacuation(machines, jobManager, dispatcher, settings.heartbeatIntervalMs)
        val fencingTokenRaise = FencingTokenRaise(membership, dispatcher.tokenDemand, machines, settings, startedAtMs)
        val ruleCounters = RuleCounters(quota, endedAttempts, unownedTasks)
        val usageReport =
            CpuUsageReport(
                cpuUsage,
                clusterView,
                scheduler,
                peers,
                ruleCounters,
                budgets,
                settings.leaseMs,
                startedAtMs,
            )
        val deletedMachineRemoval = DeletedMachineRemoval(machines, settings.leaseMs)
        return PeriodicTasks(
            tickMs = settings.heartbeatIntervalMs / TICKS_PER_HEARTBEAT,
            nowMs,
            listOf(
                PeriodicTask("state review", everyTicks = 1) { now -> review.run(now) },
                PeriodicTask("spot evacuation", everyTicks = 1) { now -> spotEvacuation.run(now) },
                PeriodicTask("fencing token raise", everyTicks = 1) { now -> fencingTokenRaise.run(now) },
                PeriodicTask(
                    "ownership review",
                    everyTicks = TICKS_PER_HEARTBEAT * OwnershipReview.INTERVAL_HEARTBEATS,
                ) { now -> ownershipReview.run(now) },
                PeriodicTask("allotment release", everyTicks = 20) { quota.releaseUnused() },
                PeriodicTask(
                    "deletion record removal",
                    everyTicks = 20,
                ) { scope.launch(CoroutineName("deletion record removal")) { fleetManager.pruneDeletionRecords() } },
                PeriodicTask("cancellation confirmation", everyTicks = 4) { now -> cancellations.follow(now) },
                PeriodicTask("removal of ended jobs", everyTicks = 20) { now -> jobManager.forgetEndedJobs(now) },
                PeriodicTask("CPU usage report", everyTicks = 1) { now -> usageReport.run(now) },
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

        /** The number of ticks of the periodic tasks in one heartbeat interval of the workers. */
        const val TICKS_PER_HEARTBEAT = 4

        /** The timeout of a request to the state store is a worker's lease divided by this number. */
        const val STATE_TIMEOUTS_PER_LEASE = 8

        /** The timeout of a request to the cloud is a worker's lease divided by this number. */
        const val CLOUD_TIMEOUTS_PER_LEASE = 2

        /** A failed write of a job record is retried after the heartbeat interval divided by this number. */
        const val WRITE_RETRIES_PER_HEARTBEAT = 4

        /** Counts of finished tasks are batched for a worker's lease divided by this number, then written. */
        const val COUNT_WRITES_PER_LEASE = 10
    }
}
