package micatally.peer

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.http.HttpCaller
import micatally.job.JobManager
import micatally.membership.Membership
import micatally.scheduling.Scheduler
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.supervision.launchSupervised
import micatally.wire.ResourceRequest
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import micatally.worker.UnreachableMachines

/**
 * The exchange between controllers: deltas with machine statuses and capacity summaries, cancellations, and requests
 * about jobs. Summaries are also published in the state store, for controllers that can't reach each other.
 *
 * Confined to the controller's thread, as are all its parts.
 */
class Peers(
    private val scope: CoroutineScope,
    http: HttpCaller,
    settings: Settings,
    state: StateStoreClient,
    membership: Membership,
    private val machines: MachineRegistry,
    unreachableMachines: UnreachableMachines,
    private val jobManager: JobManager,
    scheduler: Scheduler,
    listener: PeerListener,
    nowMs: () -> Long,
) {
    private val timings = PeerTimings(settings)
    private val connections = settings.peers.map { PeerConnection(it) }
    private val localSummary = LocalCapacitySummary(settings, membership, machines, jobManager, scheduler)
    private val peerSummaries = PeerCapacitySummaries(settings, membership, machines, nowMs)
    private val localHeartbeats = LocalHeartbeats(machines, timings, nowMs)

    /** Tells which peers are in contact. */
    val contacts = PeerContacts(connections, timings, nowMs)

    /** Decides to which controller the workers of a zone should report. */
    val zoneRedirects = ZoneRedirects(settings, connections, timings, nowMs)

    /** Sends cancellations to peers and receives theirs. */
    val cancellations = CancellationBroadcast(connections, http, timings, membership, jobManager)

    /** Asks peers which attempts they want. */
    val ownership = OwnershipExchange(connections, http, timings, jobManager)

    /** Sends requests about jobs to peers. */
    val jobClient = PeerJobClient(http, settings)
    private val publisher = SummaryPublisher(connections, settings, timings, state, localSummary, localHeartbeats)
    private val storedSummaryReader =
        StoredSummaryReader(connections, membership, machines, peerSummaries, listener, settings)
    private val deltaSender =
        DeltaSender(http, settings, membership, machines, unreachableMachines, jobManager, localSummary, nowMs)
    private val deltaReceiver =
        DeltaReceiver(connections, membership, machines, jobManager, peerSummaries, listener, nowMs)

    /** The number of machine statuses that this controller has missed and requested from peers since its start. */
    val missedStatusCount get() = deltaReceiver.missedStatusCount

    /** Requests of the services that were recently submitted to any controller. */
    fun recentServices(): List<ResourceRequest> = localSummary.recentServices + peerSummaries.recentServices

    /** The pending resource requests of the other controllers. */
    fun peerDemand(): List<ResourceRequest> = peerSummaries.demand

    /** To be called when a machine has become known, so that the capacity that peers hold on it counts as used. */
    fun machineAdded(machine: Machine) = peerSummaries.machineAdded(machine)

    /** To be called when the shared keys have changed. */
    fun sharedKeysChanged() = peerSummaries.sharedKeysChanged()

    /** Has the machine's status sent to all peers in the next delta, because a heartbeat has changed it. */
    fun requestDelta(machine: Machine) {
        for (connection in connections) connection.addUnsentMachine(machine.name)
    }

    /** Starts the exchange. Called once, after all parts of the controller have been created. */
    fun start() {
        scope.launchSupervised("exchange with peers") { exchangeLoop() }
        scope.launchSupervised("summary publication") { publisher.run() }
    }

    private suspend fun exchangeLoop() {
        while (true) {
            delay(timings.exchangeIntervalMs)
            peerSummaries.removeOrphans()
            // Before its shards are loaded the controller does not know what it holds. Peers would take an empty
            // summary for free capacity.
            if (jobManager.areShardsLoaded) localSummary.refresh()
            for (connection in connections) if (deltaSender.isDeltaDue(connection)) startExchange(connection)
        }
    }

    private fun startExchange(connection: PeerConnection) {
        connection.isExchanging = true
        scope.launch(CoroutineName("exchange with a peer")) {
            try {
                deltaSender.sendDelta(connection)
            } finally {
                connection.isExchanging = false
            }
        }
    }

    /**
     * Handles an encoded [micatally.wire.PeerDelta] and returns the encoded response.
     *
     * @throws kotlinx.serialization.SerializationException if [body] is malformed
     */
    fun receiveDelta(body: ByteArray): ByteArray = deltaReceiver.receiveDelta(body)

    /** To be called when summaries in the state store have changed under these keys. */
    fun storedSummariesChanged(keys: Set<String>) = storedSummaryReader.storedSummariesChanged(keys)
}
