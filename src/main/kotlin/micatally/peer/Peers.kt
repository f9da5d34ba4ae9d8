package micatally.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.http.HttpCaller
import micatally.job.JobManager
import micatally.membership.Membership
import micatally.scheduling.Scheduler
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.wire.ResourceRequest
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/**
 * The exchange between controllers: deltas with machine statuses and capacity summaries, cancellations, requests about jobs.
 * Summaries also go through the state store, for controllers that can't reach each other.
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

    /** Which peers are in contact. */
    val contacts = PeerContacts(connections, timings, nowMs)

    /** Where the workers of a zone should report. */
    val zoneRedirects = ZoneRedirects(settings, connections, timings, nowMs)

    /** Cancellations, sent to and received from peers. */
    val cancellations = CancellationBroadcast(connections, http, timings, membership, jobManager)

    /** Requests to peers about jobs. */
    val jobClient = PeerJobClient(http, settings)
    private val publisher = SummaryPublisher(connections, settings, timings, state, localSummary, localHeartbeats)
    private val storedSummaryReader = StoredSummaryReader(membership, machines, peerSummaries, settings)
    private val deltaSender = DeltaSender(http, settings, membership, machines, jobManager, localSummary, nowMs)
    private val deltaReceiver =
        DeltaReceiver(connections, membership, machines, jobManager, peerSummaries, listener, nowMs)

    /** Services that were submitted to any controller lately. */
    fun recentServices(): List<ResourceRequest> = localSummary.recentServices + peerSummaries.recentServices

    /** Requests that wait at the other controllers. */
    fun peerDemand(): List<ResourceRequest> = peerSummaries.demand

    /** A machine has become known: what the peers hold on it counts from now on. */
    fun machineAdded(machine: Machine) = peerSummaries.machineAdded(machine)

    /** The shared keys have changed. */
    fun sharedKeysChanged() = peerSummaries.sharedKeysChanged()

    /** A heartbeat received here showed something new: peers get the machine's status with the next delta. */
    fun requestDelta(machine: Machine) {
        for (connection in connections) connection.addUnsentMachine(machine.name)
    }

    /** Asks the peers to have the machine deleted: one of them may be the fleet manager. */
    fun requestDeletion(machine: String) = deltaSender.requestDeletion(machine)

    /** Starts the exchange; called once, when all parts of the controller are wired. */
    fun start() {
        scope.launch { exchangeLoop() }
        scope.launch { publisher.run() }
    }

    private suspend fun exchangeLoop() {
        while (true) {
            delay(timings.exchangeIntervalMs)
            peerSummaries.removeOrphans()
            // Before its shards are loaded a controller does not know what it holds, and an empty summary reads as free
            // capacity.
            if (jobManager.areShardsLoaded) localSummary.refresh()
            for (connection in connections) if (deltaSender.isDeltaDue(connection)) startExchange(connection)
        }
    }

    private fun startExchange(connection: PeerConnection) {
        connection.isExchanging = true
        scope.launch {
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

    /** Summaries in the state store have changed under these keys. */
    fun storedSummariesChanged(keys: Set<String>) = storedSummaryReader.storedSummariesChanged(keys)
}
