package micatally.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import micatally.http.HttpCaller
import micatally.membership.Keys
import micatally.membership.Membership
import micatally.settings.OperatorSettings
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.supervision.launchSupervised
import micatally.wire.ResourceRequest
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** What the fleet manager needs to know of the rest of the controller. */
interface FleetEnvironment {
    /** Resource requests of the tasks, on all controllers, that find no free capacity at present. */
    fun unplaced(): List<ResourceRequest>

    /** Resource requests of the services that were submitted recently, to any controller. */
    fun recentServices(): List<ResourceRequest>

    /**
     * Whether each of the controllers on [hosts] knows what was in the state store at [sinceMs], and has told this one
     * after that which capacity it holds.
     */
    fun isCapacityKnownSince(
        sinceMs: Long,
        hosts: Set<String>,
    ): Boolean

    /** Names of the machines with attempts of this controller from which no controller receives heartbeats. */
    fun unreachableMachines(): List<String>

    /** Zones of controllers that can't be reached. */
    fun unreachableZones(): Set<String>

    /** Called when the machine types become known, on every controller. */
    fun machineTypesKnown()
}

/** The clients with which the fleet manager reaches the workers, the state store and the cloud. */
class FleetClients(
    val http: HttpCaller,
    val state: StateStoreClient,
    val cloud: CloudClient,
)

/**
 * Provisions, evicts and deletes machines for all controllers. An instance runs on every controller, but only the one
 * that holds the fleet key acts; see [FleetLeadership].
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

    /** When tasks last lacked free capacity, in milliseconds. */
    private var lastUnplacedAtMs = Long.MIN_VALUE / 2

    private val leadership = FleetLeadership(settings, state, membership, nowMs) { beginTerm() }
    private val instances = ProvisionedInstances { machines.bootMs(it) }
    private val scaleIn =
        ScaleIn(scope, settings, state, cloud, sharedKeys, { isLeader && membership.leaseHolds() }, nowMs)
    private val shardLeaderRequests = ShardLeaderRequests(settings, machines)
    private val requests = ProvisioningRequestStore(state, sharedKeys, leadership::condition)
    private val scaleOut = ScaleOut(scope, settings, cloud, requests, machines, instances, { isLeader }, nowMs)
    private val prober = MachineProber(scope, clients.http, settings, machines, nowMs)
    private val failureDetector =
        MachineFailureDetector(settings, machines, instances, prober, environment::unreachableZones)
    private val evictionRecords = EvictionRecords(scope, settings, state, sharedKeys, leadership::condition)
    private val eviction =
        GracefulEviction(
            settings,
            operator,
            machines,
            instances,
            evictionRecords,
            scaleIn,
            environment::recentServices,
        ) { environment.isCapacityKnownSince(it, livePeers()) }
    private val inventory =
        CloudInventory(settings, cloud, leadership, sharedKeys, machines, instances, scaleIn, nowMs)
    private val machineTypeCatalog =
        MachineTypeCatalog(settings, state, cloud, machines, { isLeader }, environment::machineTypesKnown)

    /** Whether this controller is the fleet manager. */
    val isLeader get() = leadership.isLeader

    /**
     * Requests the deletion of machines, for the controller on [host] that has heard nothing from them for too long.
     * The deletion is the termination evidence for the tasks on them. Does nothing unless this controller is the fleet
     * manager; the request is repeated while the machines stay silent.
     */
    fun requestDeletion(
        names: List<String>,
        host: String,
    ) {
        if (isLeader) shardLeaderRequests.add(names, host)
    }

    /** Removes old deletion records from the state store; to be called periodically. */
    suspend fun pruneDeletionRecords() = scaleIn.pruneDeletionRecords()

    /** Starts the loops, which run until the scope ends. To be called once. */
    fun start() {
        scope.launchSupervised("machine types") { machineTypeCatalog.refreshLoop() }
        scope.launchSupervised("fleet manager election") { leadership.electionLoop() }
        scope.launchSupervised("cloud inventory") { inventory.pollLoop() }
        scope.launchSupervised("fleet review") { reviewLoop() }
    }

    /** The hosts of the other controllers that are alive. */
    private fun livePeers(): Set<String> =
        settings.peers.map { it.host }.filterTo(HashSet()) { sharedKeys.has(Keys.live(it)) }

    private suspend fun reviewLoop() {
        while (true) {
            delay(settings.heartbeatIntervalMs / REVIEWS_PER_HEARTBEAT)
            if (isLeader) review()
        }
    }

    private fun beginTerm() {
        lastUnplacedAtMs = leadership.termBeganAtMs
        instances.clear()
        scaleIn.beginTerm()
        shardLeaderRequests.clear()
        eviction.beginTerm(leadership.termBeganAtMs)
        scaleOut.beginTerm(leadership.term)
    }

    /**
     * Decides on scale-in and scale-out, unless the lease does not hold or the copy of the shared keys is out of date.
     */
    private fun review() {
        val now = nowMs()
        val isViewStale = membership.viewAgeMs > settings.leaseMs / 2
        val contactSinceMs = membership.contactSinceMs
        if (!membership.leaseHolds() || isViewStale || contactSinceMs == null) return
        // What happened to the machines before is not known: another fleet manager was in charge, or this process was
        // cut off or suspended.
        val observedSinceMs = maxOf(leadership.termBeganAtMs, contactSinceMs)
        updateInstances(now)
        deleteSilentMachines(now, observedSinceMs)
        val resourceRequests = environment.unplaced()
        if (resourceRequests.isNotEmpty()) lastUnplacedAtMs = now
        if (now - observedSinceMs > settings.leaseMs) deleteLateInstances(now)
        val demand = EvictionDemand(resourceRequests, scaleOut.supplied(resourceRequests))
        eviction.review(demand, now, observedSinceMs)
        scaleIn.submit()
        scaleOut.deleteSettledRequests()
        if (resourceRequests.isNotEmpty()) scaleOut.provisionFor(resourceRequests, now)
    }

    /** Records the machines that have sent a heartbeat as up, and drops deleted ones. */
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

    /** Requests the deletion of machines that have failed, here or for the leader of a shard with attempts on them. */
    private fun deleteSilentMachines(
        now: Long,
        observedSinceMs: Long,
    ) {
        for (failed in failureDetector.findFailed(now, observedSinceMs)) {
            deleteUnlessHeard(failed.name, failed.reason)
        }
        shardLeaderRequests.add(environment.unreachableMachines(), settings.host)
        for (name in shardLeaderRequests.take(observedSinceMs, now)) {
            deleteUnlessHeard(name, DeletionReason.SILENT_FOR_SHARD_LEADER)
        }
    }

    /** Requests the deletion of a machine, unless a heartbeat becomes known before the request is sent. */
    private fun deleteUnlessHeard(
        name: String,
        reason: DeletionReason,
    ) {
        val heardAtMs = heardAtMs(name)
        scaleIn.request(DeletionRequest(name, reason) { heardAtMs(name) == heardAtMs })
    }

    private fun heardAtMs(name: String): Long = machines.of(name)?.heardAt ?: 0L

    /** Requests the deletion of machines that did not boot in time. */
    private fun deleteLateInstances(now: Long) {
        val isCapacityNeeded = now - lastUnplacedAtMs < settings.leaseMs
        for (instance in instances.timedOut(now, isCapacityNeeded)) {
            log.info("machine {} did not boot within {} ms, deleting it", instance.name, instance.ageMs(now))
            deleteUnlessHeard(instance.name, DeletionReason.BOOT_TIMED_OUT)
        }
    }

    private companion object {
        const val REVIEWS_PER_HEARTBEAT = 4
    }
}
