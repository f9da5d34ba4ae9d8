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
    fun unreachableZones(): Set<String>
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
    private val pendingWorkload: PendingWorkload,
    operator: Operator,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val sharedKeys: SharedKeyCache = membership.sharedKeys
    private var term = 0L
    private var termBeganAt = 0L

    /** When there was demand last. */
    private var lastUnplacedAt = Long.MIN_VALUE / 2
    private val unknownStates = HashSet<String>()

    private val instances = ProvisionedInstances { machines.bootMs(it) }
    private val scaleIn =
        ScaleIn(scope, settings, state, cloud, sharedKeys, { isLeader && membership.leaseHolds() }, nowMs)
    private val requests = ProvisioningRequestStore(state, sharedKeys)
    private val scaleOut = ScaleOut(scope, settings, cloud, requests, machines, instances, { isLeader }, nowMs)
    private val prober = MachineProber(scope, http, settings, machines, nowMs)
    private val failureDetector =
        MachineFailureDetector(settings, machines, instances, prober, pendingWorkload::unreachableZones)
    private val evictionRecords = EvictionRecords(scope, settings, state, sharedKeys)
    private val eviction =
        GracefulEviction(
            settings,
            operator,
            machines,
            instances,
            evictionRecords,
            scaleIn,
            pendingWorkload::recentServices,
        )
    private val machineTypeCatalog =
        MachineTypeCatalog(settings, state, cloud, machines, { isLeader }, { onMachineTypes() })

    /** The machine types have become known. */
    var onMachineTypes: () -> Unit = {}

    val isLeader get() = term > 0 && sharedKeys.modRevision(Keys.FLEET) == term

    /** Machines whose end an owner needs proven. */
    fun requestDeletion(names: List<String>) = scaleIn.request(names)

    suspend fun pruneDeletionRecords() = scaleIn.pruneDeletionRecords()

    fun start() {
        scope.launch { machineTypeCatalog.follow() }
        scope.launch { termLoop() }
        scope.launch { listLoop() }
        scope.launch {
            while (true) {
                delay(settings.heartbeatIntervalMs / REVIEWS_PER_HEARTBEAT)
                if (isLeader) review()
            }
        }
    }

    private suspend fun termLoop() {
        while (true) {
            delay(settings.liveMs / ATTEMPTS_PER_LEASE)
            val lease = membership.lease
            if (lease == null || isLeader || sharedKeys.revision < 0) continue
            // The answer that gave it the key was lost: nobody else can take it while this node lives.
            val isHeldByThisProcess = sharedKeys.value(Keys.FLEET)?.textOrNull("process") == membership.process
            if (isHeldByThisProcess) {
                beginTerm(sharedKeys.modRevision(Keys.FLEET))
            } else if (!sharedKeys.has(Keys.FLEET)) {
                acquireFleetKey(lease)
            }
        }
    }

    private suspend fun acquireFleetKey(lease: Long) {
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
            delay(settings.liveMs / ATTEMPTS_PER_LEASE)
            return
        }
        membership.refresh()
        beginTerm(result.revision)
    }

    private fun beginTerm(modRevision: Long) {
        term = modRevision
        termBeganAt = nowMs()
        lastUnplacedAt = termBeganAt
        log.info("fleet leadership acquired, term {}", term)
        instances.clear()
        eviction.beginTerm(termBeganAt)
        scaleOut.beginTerm(term)
    }

    private suspend fun listLoop() {
        val pauseMs = maxOf(settings.listLagMs / 2, (REQUESTS_PER_LISTING * 1000 / settings.cloudRps).toLong())
        while (true) {
            delay(pauseMs)
            if (!isLeader) continue
            val termAtRequest = term
            val listing = cloud.list() ?: continue
            if (term != termAtRequest) continue
            for (line in listing) applyListed(line, nowMs())
        }
    }

    private fun applyListed(
        line: ListedMachine,
        now: Long,
    ) {
        if (sharedKeys.has(Keys.DELETED_MACHINE + line.name) || line.name in machines.deletedNames) return
        when (line.status) {
            ListedMachine.FAILED -> scaleIn.request(line.name)
            ListedMachine.STARTING -> instances.listed(line, now)
            ListedMachine.RUNNING -> {
                instances.listed(line, now)
                machines.known(line.name, line.addr, line.type, line.zone, line.spot)
            }
            else ->
                if (unknownStates.add(line.status)) {
                    log.warn("machine {} has an unknown status in the cloud's list: {}", line.name, line.status)
                }
        }
    }

    private fun review() {
        val now = nowMs()
        if (!membership.leaseHolds() || membership.viewAgeMs > settings.leaseMs / 2) return
        updateInstances(now)
        scaleIn.request(failureDetector.findFailed(now, termBeganAt))
        val resourceRequests = pendingWorkload.unplaced()
        if (resourceRequests.isNotEmpty()) lastUnplacedAt = now
        deleteLateInstances(now)
        eviction.review(resourceRequests, now)
        scaleIn.submit()
        scaleOut.deleteSettledRequests()
        if (resourceRequests.isNotEmpty()) scaleOut.scaleOut(resourceRequests, now)
    }

    private fun updateInstances(now: Long) {
        for (machine in machines.byName.values) {
            if (!machine.deleted && machine.incarnation != 0L) {
                instances.heartbeatReceived(
                    machine.name,
                    Offer(machine.type, machine.zone, machine.spot),
                    machine.firstHeardAt,
                )
            }
        }
        instances.removeAll(machines.deletedNames)
        instances.updateBootTimes(now)
    }

    private fun deleteLateInstances(now: Long) {
        for (instance in instances.timedOut(now, now - lastUnplacedAt < settings.leaseMs)) {
            log.info("machine {} did not boot within {} ms, deleting it", instance.name, instance.ageMs(now))
            scaleIn.request(instance.name)
        }
    }

    private companion object {
        const val REVIEWS_PER_HEARTBEAT = 4
        const val ATTEMPTS_PER_LEASE = 16

        /** Between two lists the cloud takes at least so many other requests. */
        const val REQUESTS_PER_LISTING = 3
    }
}
