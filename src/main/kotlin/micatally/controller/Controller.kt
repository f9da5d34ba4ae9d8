package micatally.controller

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
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
import micatally.fleet.FleetManager
import micatally.fleet.PendingWorkload
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.errorResponse
import micatally.job.AttemptState
import micatally.job.JobManager
import micatally.job.JobStore
import micatally.job.RecordForms
import micatally.job.ShardState
import micatally.job.StopReason
import micatally.membership.Keys
import micatally.membership.Membership
import micatally.membership.SharedKeyCache
import micatally.peer.Peers
import micatally.quota.Quota
import micatally.scheduling.PriorityQueues
import micatally.scheduling.Scheduler
import micatally.settings.Operator
import micatally.settings.Settings
import micatally.state.RateBudget
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import micatally.state.Urgency
import micatally.upgrade.FormatVersion
import micatally.upgrade.Upgrade
import micatally.wire.PeerJobRequest
import micatally.worker.CommandDispatcher
import micatally.worker.Machine
import micatally.worker.MachineListener
import micatally.worker.MachineRegistry
import micatally.worker.StatusSource
import micatally.worker.WorkerReach
import org.slf4j.LoggerFactory
import kotlin.random.Random

/** One controller: all parts, put together. Requests leave through [http], time and randomness come from outside, so
 * several controllers can run in one simulation. */
class Controller(
    private val scope: CoroutineScope,
    private val settings: Settings,
    http: HttpCaller,
    random: Random,
    private val nowMs: () -> Long,
    wallMs: () -> Long,
    operator: Operator = Operator.DEFAULT,
    nowNs: () -> Long = {
        nowMs() *
            1_000_000
    },
) {
    private val cpuUsage = CpuUsage(nowNs)
    private val log = LoggerFactory.getLogger("micatally.controller")
    private val share = 0.95 / settings.controllers
    private val requestBudget = RateBudget(scope, settings.stateLimits.rps * share, nowMs)
    private val writeBudget =
        RateBudget(
            scope,
            settings.stateWriteRps * share,
            nowMs,
            settings.stateWriteRps * (0.95 - share),
        )
    private val state =
        StateStoreClient(
            http,
            settings.stateAddr,
            requestBudget,
            writeBudget,
            settings.leaseMs / 8,
        )
    private val cloud =
        CloudClient(
            http,
            settings.cloudAddr,
            RateBudget(scope, settings.cloudRps * 0.9, nowMs),
            settings.leaseMs / 2,
        )
    val membership =
        Membership(scope, settings, state, SharedKeyCache(), random, nowMs, operator.archiveMode == ArchiveMode.ON)
    val machines = MachineRegistry(machineListener(), nowMs)
    private val wantedFormat =
        if (operator.storesTeams) FormatVersion.STORED_TEAMS else FormatVersion.PACKED_RECORDS
    private val upgrade = Upgrade(scope, settings, state, membership.sharedKeys, wantedFormat) { uniform() }
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
            settings.heartbeatIntervalMs / 4,
            settings.leaseMs / 10,
            { archive.mayBeUsed },
            nowMs,
        )
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
        Quota(scope, state, membership.sharedKeys, configuration.teams, {
            jobManager.shards.values.filter { it.mine }
        }, settings.controllers) { scheduler.requestCycle() }
    val scheduler: Scheduler =
        Scheduler(
            scope,
            settings,
            jobManager,
            machines,
            store,
            quota,
            dispatcher,
            PriorityQueues(
                operator.queueBounds.map {
                    it *
                        settings.leaseMs /
                        1000.0
                },
                operator.promotionRatio,
            ),
            cpuUsage,
            nowMs,
        )
    private val peers = Peers(scope, http, settings, state, membership, machines, jobManager, scheduler, nowMs)
    private val reach = WorkerReach(scope, http, settings, machines, nowMs)
    private val fleetManager =
        FleetManager(scope, http, settings, state, cloud, membership, machines, fleetDemand(), operator, nowMs)
    private val questionRps = settings.stateLimits.rps * share * QUESTION_SHARE
    private val reads =
        RecordReads(
            lookup,
            RateBudget(scope, questionRps, nowMs),
            maxOf(1, questionRps.toInt()),
            settings.leaseMs / 8,
        )
    private val users = userApi()
    private val workers =
        WorkerApi(settings, membership, machines, peers, jobManager.cancellations.cancelledTasks, nowMs)

    private fun loadedShards() =
        object : LoadedShards {
            override fun loaded(name: String) = jobManager.shards[name]?.takeIf { it.state == ShardState.ACTIVE }
        }

    private fun userApi(): UserApi {
        val contact = ControllerContact(settings, state, membership, reach)
        val durability = JobDurability(settings, store)
        val jobLookup = JobLookup(settings, membership, jobManager, peers, lookup, contact)
        val admission = AdmissionRules(settings, configuration.teams, machines, upgrade)
        return UserApi(
            HealthCheck(membership, jobManager, machines, peers, contact),
            SubmissionHandler(admission, contact, jobManager, durability, scheduler, jobLookup, nowMs),
            QueryHandler(jobLookup, reads),
            CancellationHandler(jobManager, durability, peers, jobLookup, contact),
        )
    }

    private fun machineListener(): MachineListener =
        object : MachineListener {
            override fun machineAdded(machine: Machine) = peers.machineAdded(machine)

            override fun incarnationChanged(machine: Machine) = jobManager.newIncarnation(machine)

            override fun tasksReported(
                machine: Machine,
                source: StatusSource,
            ) {
                jobManager.tasksReported(machine, source == StatusSource.COMMAND_RESPONSE)
                scheduler.requestCycle()
            }

            override fun statusMissed(machine: Machine) {
                if (machine.attempts.isEmpty()) return
                machine.channel.needsStatus = true
                dispatcher.requestSync(machine)
            }
        }

    private fun fleetDemand() =
        object : PendingWorkload {
            override fun unplaced() = scheduler.unplaced.values.toList() + peers.demandOfPeers()

            override fun recentServices() = peers.recentServices()

            override fun silentZones() = peers.silentZones()
        }

    /** Whether this node rents and returns machines for all. */
    val isFleetManager get() = fleetManager.isLeader

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
        fleetManager.onMachineTypes = { scheduler.requestCycle() }
        peers.onRetire = { fleetManager.retire(it) }
        peers.onNews = { scheduler.requestCycle() }
        membership.onChange = { keys -> cpuUsage.of(CpuUsage.Kind.SHARED) { sharedChanged(keys) } }
        membership.onSummaries =
            { keys ->
                cpuUsage.of(CpuUsage.Kind.SHARED) { peers.summariesChanged(keys) }
                scheduler.requestCycle()
            }
        membership.start()
        fleetManager.start()
        peers.start()
        archive.start()
        scope.launch { housekeeping() }
    }

    /** The form of the records changes, and with it how many attempts they have room for. */
    private fun uniform() {
        for (job in jobManager.openJobs()) job.attemptLimit = Int.MAX_VALUE
        scheduler.requestCycle()
    }

    /** What is decided and not sent is given up where a limit is exceeded now, before the version counts as applied. */
    private fun configurationApplied(
        former: Configuration,
        next: Configuration,
    ) {
        jobManager.endUnsent { team -> former.team(team) !== next.team(team) }
        quota.limitsChanged()
        scheduler.requestCycle()
    }

    private fun sharedChanged(keys: Set<String>) {
        upgrade.sharedChanged()
        configuration.sharedChanged()
        jobManager.checkShards()
        for (k in keys) {
            if (k.startsWith(Keys.DELETED_MACHINE)) {
                val name = k.removePrefix(Keys.DELETED_MACHINE)
                if (membership.sharedKeys.has(k)) {
                    machines.addDeletedName(name)
                    machines.of(name)?.let { jobManager.deleted(it) }
                }
            }
            if (k.startsWith(Keys.CANCELLED_TASKS)) jobManager.cancellations.published(k)
            if (k.startsWith(Keys.TEAM)) quota.teamChanged(k.removePrefix(Keys.TEAM))
            if (k.startsWith(Keys.DRAIN)) {
                machines.of(k.removePrefix(Keys.DRAIN))?.draining = membership.sharedKeys.has(k)
            }
        }
        peers.sharedChanged()
        scheduler.requestCycle()
    }

    private fun isReachable(
        m: Machine,
        now: Long,
    ) = !m.deleted && m.channel.failuresInRow == 0 && now >= m.channel.unreachableUntilMs &&
        now - m.heardAt < settings.heartbeatIntervalMs * 2

    private suspend fun housekeeping() {
        var round = 0
        var bumpedAt = nowMs()
        var effortAt = bumpedAt
        while (true) {
            delay(settings.heartbeatIntervalMs / 4)
            val now = nowMs()
            cpuUsage.of(CpuUsage.Kind.HOUSE) {
                membership.checkLeadership()
                reach.review()
                jobManager.sweep()
                for (job in jobManager.openJobs()) if (job.gang != null) jobManager.gangs.review(job, now)
                jobManager.faults.review(jobManager.openJobs(), now)
                scheduler.requestCycle()
                scheduler.migrateReplicas(now)
                for (m in machines.byName.values) m.releaseExpiredReservations(now)
            }
            for (m in machines.byName.values) {
                if (m.hasSpotNotice && !m.deleted) {
                    var touched = false
                    for (a in m.attempts.toList()) {
                        if (a.stop != null || a.state < AttemptState.DISPATCHED) continue
                        if (a.job.gang !=
                            null
                        ) {
                            jobManager.gangs.stopOrderly(a.job, "${m.name} is taken back") { isReachable(it, now) }
                        } else if (a.stop(StopReason.DRAIN, now)) {
                            touched = true
                        }
                    }
                    if (touched) dispatcher.requestSync(m)
                }
            }
            if (dispatcher.needsHigherFencingToken && now - bumpedAt > settings.leaseMs / 2) {
                dispatcher.needsHigherFencingToken = false
                bumpedAt = now
                membership.raiseFencingToken("a run without an answer must not come late")
            }
            if (++round % 20 == 0) {
                quota.handBack()
                scope.launch { fleetManager.prune() }
            }
            if (round % 4 == 0) jobManager.cancellations.follow(now)
            if (now - effortAt >
                settings.leaseMs
            ) {
                effortAt = now
                cpuUsage.tell(
                    " machines=${machines.byName.size} waiting=${scheduler.unplaced.size} ${cpuUsage.news()} " +
                        "allotmentOveruse=${quota.audit.overuseCount} writes=${writeBudget.tell()} requests=${requestBudget.tell()}",
                )
            }
            if (round % 8 == 0) askForEnds(now)
            if (round % 100 ==
                0
            ) {
                machines.forgetDeleted { it.attempts.isEmpty() && now - it.heardAt > settings.leaseMs * 6 }
            }
        }
    }

    /** Machines that hold attempts of this node but that nobody hears: their end must be proven before the tasks move. */
    private fun askForEnds(now: Long) {
        for (m in machines.byName.values) {
            if (m.deleted || m.attempts.isEmpty()) continue
            if (now - m.heardAt > settings.leaseMs * 2 && m.heardAt == 0L ||
                now - m.heardAt > settings.leaseMs + settings.leadershipMs + settings.leaseMs
            ) {
                fleetManager.retire(listOf(m.name))
                peers.retire(m.name)
            }
        }
    }

    /** Requests on the address for users and workers. */
    suspend fun handle(r: HttpRequest): HttpResponse {
        val path = r.path
        return when {
            path == "/v1/report" ->
                if (r.method ==
                    "POST"
                ) {
                    cpuUsage.of(CpuUsage.Kind.REPORT) { workers.report(r) }
                } else {
                    errorResponse(405, "use POST")
                }
            path == "/healthz" -> users.health()
            path == "/work" -> if (r.method == "POST") users.submit(r) else errorResponse(405, "use POST")
            path.startsWith("/work/") -> {
                val rest = path.removePrefix("/work/")
                if (rest.endsWith("/cancel")) {
                    if (r.method ==
                        "POST"
                    ) {
                        users.cancel(rest.removeSuffix("/cancel"))
                    } else {
                        errorResponse(405, "use POST")
                    }
                } else if (r.method == "GET") {
                    users.query(rest)
                } else {
                    errorResponse(405, "use GET")
                }
            }
            else -> errorResponse(404, "no such resource")
        }
    }

    /** Requests on the address for other controllers. */
    @OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)
    suspend fun handlePeer(r: HttpRequest): HttpResponse {
        if (r.method != "POST") return errorResponse(405, "use POST")
        val bytes =
            try {
                when (r.path) {
                    Peers.NEWS ->
                        cpuUsage.of(CpuUsage.Kind.NEWS) { peers.takeNews(r.body) }.also {
                            cpuUsage.newsTaken(r.body.size, it.size)
                        }
                    Peers.CANCELLED_TASKS -> peers.takeCancelledTasks(r.body)
                    Peers.QUERY ->
                        ProtoBuf.encodeToByteArray(
                            users.peerQuery(ProtoBuf.decodeFromByteArray<PeerJobRequest>(r.body).jobId),
                        )
                    Peers.CANCEL ->
                        ProtoBuf.encodeToByteArray(
                            users.peerCancel(ProtoBuf.decodeFromByteArray<PeerJobRequest>(r.body).jobId),
                        )
                    else ->
                        configuration.handle(r.path, r.body) ?: return errorResponse(404, "no such resource")
                }
            } catch (e: kotlinx.serialization.SerializationException) {
                return errorResponse(400, "malformed message")
            }
        return HttpResponse(200, bytes, HttpResponse.BINARY)
    }

    private companion object {
        /** The share of this node's requests to the state service that users' questions may take. */
        const val QUESTION_SHARE = 0.5
    }
}
