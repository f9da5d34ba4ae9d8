package micatally.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.http.HttpCaller
import micatally.membership.Membership
import micatally.settings.OperatorSettings
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.wire.ResourceRequest
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** The rest of the controller as the fleet manager sees it. */
interface FleetEnvironment {
    /** Tasks of all job owners that find no free capacity at present. */
    fun unplaced(): List<ResourceRequest>

    /** Services that were submitted lately, to any job owner. */
    fun recentServices(): List<ResourceRequest>

    /** Zones of controllers that can't be reached. */
    fun unreachableZones(): Set<String>

    /** Called when the machine types become known, on every controller. */
    fun machineTypesKnown()
}

/** What the fleet manager calls over the network: the workers, the state store and the cloud. */
class FleetClients(
    val http: HttpCaller,
    val state: StateStoreClient,
    val cloud: CloudClient,
)

/**
 * Provisions, evicts and deletes machines for all job owners. One runs on every controller; only the one that holds the fleet key
 * acts ([FleetLeadership]).
 */
class FleetManager(
    private val scope: CoroutineScope,
    private val settings: Settings,
    operator: OperatorSettings,
    clients: FleetClients,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val environment: FleetEnvironment,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val state = clients.state
    private val cloud = clients.cloud
    private val sharedKeys = membership.sharedKeys

    /** When there were last tasks without free capacity. */
    private var lastUnplacedAt = Long.MIN_VALUE / 2

    private val leadership = FleetLeadership(settings, state, membership, nowMs) { beginTerm() }
    private val instances = ProvisionedInstances { machines.bootMs(it) }
    private val scaleIn =
        ScaleIn(scope, settings, state, cloud, sharedKeys, { isLeader && membership.leaseHolds() }, nowMs)
    private val requests = ProvisioningRequestStore(state, sharedKeys)
    private val scaleOut = ScaleOut(scope, settings, cloud, requests, machines, instances, { isLeader }, nowMs)
    private val prober = MachineProber(scope, clients.http, settings, machines, nowMs)
    private val failureDetector =
        MachineFailureDetector(settings, machines, instances, prober, environment::unreachableZones)
    private val evictionRecords = EvictionRecords(scope, settings, state, sharedKeys)
    private val eviction =
        GracefulEviction(
            settings,
            operator,
            machines,
            instances,
            evictionRecords,
            scaleIn,
            environment::recentServices,
        )
    private val inventory =
        CloudInventory(settings, cloud, leadership, sharedKeys, machines, instances, scaleIn, nowMs)
    private val machineTypeCatalog =
        MachineTypeCatalog(settings, state, cloud, machines, { isLeader }, environment::machineTypesKnown)

    /** Whether this controller is the fleet manager. */
    val isLeader get() = leadership.isLeader

    /**
     * Requests the deletion of machines, as termination evidence for the tasks on them. They are kept until the next
     * review of this controller as the fleet manager.
     */
    fun requestDeletion(names: List<String>) = scaleIn.request(names)

    /** Drops old deletion records from the state store; to be called from time to time. */
    suspend fun pruneDeletionRecords() = scaleIn.pruneDeletionRecords()

    /** Starts the fleet manager's loops, which run until the scope ends. To be called once. */
    fun start() {
        scope.launch { machineTypeCatalog.follow() }
        scope.launch { leadership.follow() }
        scope.launch { inventory.follow() }
        scope.launch { reviewLoop() }
    }

    private suspend fun reviewLoop() {
        while (true) {
            delay(settings.heartbeatIntervalMs / REVIEWS_PER_HEARTBEAT)
            if (isLeader) review()
        }
    }

    private fun beginTerm() {
        lastUnplacedAt = leadership.termBeganAt
        instances.clear()
        eviction.beginTerm(leadership.termBeganAt)
        scaleOut.beginTerm(leadership.term)
    }

    private fun review() {
        val now = nowMs()
        val isViewStale = membership.viewAgeMs > settings.leaseMs / 2
        if (!membership.leaseHolds() || isViewStale) return
        updateInstances(now)
        scaleIn.request(failureDetector.findFailed(now, leadership.termBeganAt))
        val resourceRequests = environment.unplaced()
        if (resourceRequests.isNotEmpty()) lastUnplacedAt = now
        deleteLateInstances(now)
        eviction.review(resourceRequests, now)
        scaleIn.submit()
        scaleOut.deleteSettledRequests()
        if (resourceRequests.isNotEmpty()) scaleOut.provisionFor(resourceRequests, now)
    }

    private fun updateInstances(now: Long) {
        for (machine in machines.byName.values) {
            val hasReported = machine.incarnation != 0L
            if (machine.deleted || !hasReported) continue
            val offer = Offer(machine.type, machine.zone, machine.isSpot)
            instances.heartbeatReceived(machine.name, offer, machine.firstHeardAt)
        }
        instances.removeAll(machines.deletedNames)
        instances.updateBootTimes(now)
    }

    private fun deleteLateInstances(now: Long) {
        val isCapacityNeeded = now - lastUnplacedAt < settings.leaseMs
        for (instance in instances.timedOut(now, isCapacityNeeded)) {
            log.info("machine {} did not boot within {} ms, deleting it", instance.name, instance.ageMs(now))
            scaleIn.request(instance.name)
        }
    }

    private companion object {
        const val REVIEWS_PER_HEARTBEAT = 4
    }
}
