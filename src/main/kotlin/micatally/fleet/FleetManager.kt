package micatally.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.http.HttpCaller
import micatally.membership.Keys
import micatally.membership.Membership
import micatally.membership.SharedKeyCache
import micatally.settings.Operator
import micatally.settings.Settings
import micatally.state.Compare
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.wire.ListedMachine
import micatally.wire.ResourceRequest
import micatally.wire.textOrNull
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** What the fleet manager hears from the rest of the node. */
interface PendingWorkload {
    /** What finds no room at present, of all owners. */
    fun unplaced(): List<ResourceRequest>

    /** Services that came lately, to any owner. */
    fun recentServices(): List<ResourceRequest>

    /** Zones of controllers that can't be heard. */
    fun silentZones(): Set<String>
}

/** Whoever holds the fleet key rents, drains and returns machines for all owners. A term is one hold on the key. */
class FleetManager(
    private val scope: CoroutineScope,
    http: HttpCaller,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val cloud: CloudClient,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val fleetDemand: PendingWorkload,
    operator: Operator,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val sharedKeys: SharedKeyCache = membership.sharedKeys
    private var term = 0L
    private var termSince = 0L

    /** When there was demand last. */
    private var neededAt = Long.MIN_VALUE / 2
    private val unknownStates = HashSet<String>()

    private val instances = ProvisionedInstances { machines.bootMs(it) }
    private val scaleIn =
        ScaleIn(scope, settings, state, cloud, sharedKeys, { isLeader && membership.leaseHolds() }, nowMs)
    private val scaleOut = ScaleOut(scope, settings, state, cloud, sharedKeys, machines, instances, { isLeader }, nowMs)
    private val silence =
        MachineFailureDetector(scope, http, settings, machines, instances, fleetDemand::silentZones, nowMs)
    private val drains =
        GracefulEviction(
            scope,
            settings,
            state,
            sharedKeys,
            machines,
            instances,
            scaleIn,
            fleetDemand::recentServices,
            operator,
            nowMs,
        )
    private val types = MachineTypeCatalog(settings, state, cloud, machines, { isLeader }, { onMachineTypes() })

    /** The machine types have become known. */
    var onMachineTypes: () -> Unit = {}

    val isLeader get() = term > 0 && sharedKeys.modRevision(Keys.FLEET) == term

    /** Machines whose end an owner needs proven. */
    fun retire(names: List<String>) = scaleIn.want(names)

    suspend fun prune() = scaleIn.prune()

    fun start() {
        scope.launch { types.follow() }
        scope.launch { termLoop() }
        scope.launch { listLoop() }
        scope.launch {
            while (true) {
                delay(settings.heartbeatIntervalMs / STEPS_A_REPORT)
                if (isLeader) step()
            }
        }
    }

    private suspend fun termLoop() {
        while (true) {
            delay(settings.liveMs / TRIES_A_LIFE)
            val lease = membership.lease
            if (lease == null || isLeader || sharedKeys.revision < 0) continue
            // The answer that gave it the key was lost: nobody else can take it while this node lives.
            val isOwn = sharedKeys.value(Keys.FLEET)?.textOrNull("process") == membership.process
            if (isOwn) {
                begin(sharedKeys.modRevision(Keys.FLEET))
            } else if (!sharedKeys.has(Keys.FLEET)) {
                acquire(lease)
            }
        }
    }

    private suspend fun acquire(lease: Long) {
        val live = Keys.live(settings.host)
        val leader =
            buildJsonObject {
                put("host", settings.host)
                put("process", membership.process)
            }
        val result =
            state.transact(1, Urgency.SUMMARY) {
                val conditions = listOf(Compare(Keys.FLEET, 0), Compare(live, sharedKeys.modRevision(live)))
                Transaction(conditions, listOf(Put(Keys.FLEET, leader, lease)))
            }
        if (result !is TransactionResult.Applied) {
            delay(settings.liveMs / TRIES_A_LIFE)
            return
        }
        membership.refresh()
        begin(result.revision)
    }

    private fun begin(modRevision: Long) {
        term = modRevision
        termSince = nowMs()
        neededAt = termSince
        log.info("fleet key held, term {}", term)
        instances.clear()
        drains.beginTerm()
        scaleOut.beginTerm(term)
    }

    private suspend fun listLoop() {
        val pauseMs = maxOf(settings.listLagMs / 2, (LIST_PAUSE_REQUESTS * 1000 / settings.cloudRps).toLong())
        while (true) {
            delay(pauseMs)
            if (!isLeader) continue
            val termOfList = term
            val list = cloud.list() ?: continue
            if (term != termOfList) continue
            for (line in list) take(line, nowMs())
        }
    }

    private fun take(
        line: ListedMachine,
        now: Long,
    ) {
        if (sharedKeys.has(Keys.DELETED_MACHINE + line.name) || line.name in machines.deletedNames) return
        when (line.status) {
            ListedMachine.FAILED -> scaleIn.want(line.name)
            ListedMachine.STARTING -> instances.listed(line, now)
            ListedMachine.RUNNING -> {
                instances.listed(line, now)
                machines.findOrAdd(line.name, line.addr, line.type, line.zone, line.spot)
            }
            else ->
                if (unknownStates.add(line.status)) {
                    log.warn("machine {} is listed in an unknown state: {}", line.name, line.status)
                }
        }
    }

    private fun step() {
        val now = nowMs()
        if (!membership.leaseHolds() || membership.viewAgeMs > settings.leaseMs / 2) return
        followRentals(now)
        scaleIn.want(silence.find(now, termSince))
        val demands = fleetDemand.unplaced()
        if (demands.isNotEmpty()) neededAt = now
        giveUpLate(now)
        drains.review(demands, now)
        scaleIn.send()
        scaleOut.dropSettledNotes()
        if (demands.isNotEmpty()) scaleOut.scaleOutFor(demands, now)
    }

    private fun followRentals(now: Long) {
        for (m in machines.byName.values) {
            if (!m.deleted && m.incarnation != 0L) {
                instances.reports(m.name, Offer(m.type, m.zone, m.spot), m.firstHeardAt)
            }
        }
        instances.removeAll(machines.deletedNames)
        instances.observe(now)
    }

    private fun giveUpLate(now: Long) {
        for (instance in instances.givenUp(now, now - neededAt < settings.leaseMs)) {
            log.info("machine {} has not come up in {} ms", instance.name, instance.ageMs(now))
            scaleIn.want(instance.name)
        }
    }

    private companion object {
        const val STEPS_A_REPORT = 4
        const val TRIES_A_LIFE = 16

        /** Between two lists the cloud takes at least so many other requests. */
        const val LIST_PAUSE_REQUESTS = 3
    }
}
