package micatally.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.http.HttpCaller
import micatally.job.Job
import micatally.job.JobManager
import micatally.membership.Membership
import micatally.scheduling.Scheduler
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.wire.PeerJobResponse
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
    nowMs: () -> Long,
) {
    private val timings = PeerTimings(settings)
    private val connections = settings.peers.map { PeerConnection(it) }
    private val localSummary = LocalCapacitySummary(settings, membership, machines, jobManager, scheduler)
    private val peerSummaries = PeerCapacitySummaries(settings, membership, machines, nowMs)
    private val localHeartbeats = LocalHeartbeats(machines, timings, nowMs)
    private val contacts = PeerContacts(connections, timings, nowMs)
    private val zoneRedirects = ZoneRedirects(settings, connections, timings, nowMs)
    private val cancellations = CancellationBroadcast(connections, http, timings, membership, jobManager)
    private val jobClient = PeerJobClient(http, settings)
    private val publisher = SummaryPublisher(connections, settings, timings, state, localSummary, localHeartbeats)
    private val storedSummaryReader = StoredSummaryReader(membership, machines, peerSummaries, settings)
    private val deltaSender = DeltaSender(http, settings, membership, machines, jobManager, localSummary, nowMs)
    private val deltaReceiver =
        DeltaReceiver(connections, membership, machines, jobManager, peerSummaries, listener(), nowMs)

    var onRetire: (List<String>) -> Unit = {}
    var onNews: () -> Unit = {}

    private fun listener() =
        object : PeerListener {
            override fun deletionRequested(machines: List<String>) = onRetire(machines)

            override fun clusterStateChanged() = onNews()
        }

    fun somePeerHasStateSince(sinceMs: Long): Boolean = contacts.hasStateStoreContactSince(sinceMs)

    fun somePeerHasState(): Boolean = contacts.hasStateStoreContact()

    fun anyHeard(): Boolean = contacts.isAnyPeerHeard()

    fun bestFor(zone: String): String? = zoneRedirects.bestControllerFor(zone)

    fun reaches(host: String) = contacts.isReachable(host)

    fun silentZones(): Set<String> = contacts.silentZones()

    fun leadingPeer(): String? = contacts.redirectTarget()

    fun peersConfirmedAt(): Long = cancellations.confirmedByPeersAt()

    /** Services that were submitted to any controller lately. */
    fun recentServices(): List<ResourceRequest> = localSummary.recentServices + peerSummaries.recentServices

    /** Requests that wait at the other controllers. */
    fun demandOfPeers(): List<ResourceRequest> = peerSummaries.demand

    /** The shared keys have changed. */
    fun sharedChanged() = peerSummaries.sharedKeysChanged()

    /** A heartbeat received here showed something new: peers get the machine's status with the next delta. */
    fun tell(m: Machine) {
        for (connection in connections) connection.addUnsentMachine(m.name)
    }

    fun retire(name: String) = deltaSender.requestDeletion(name)

    /** Starts the exchange; called once, when all parts of the controller are wired. */
    fun start() {
        machines.onNew = { peerSummaries.machineAdded(it) }
        scope.launch { exchangeLoop() }
        scope.launch { publisher.run() }
    }

    private suspend fun exchangeLoop() {
        while (true) {
            delay(timings.exchangeIntervalMs)
            peerSummaries.removeOrphans()
            // Before its shards are loaded a controller does not know what it holds, and an empty summary reads as free capacity.
            if (jobManager.settled) localSummary.refresh()
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

    fun takeNews(body: ByteArray): ByteArray = deltaReceiver.receiveDelta(body)

    /** Summaries in the state store have changed. */
    fun summariesChanged(keys: Set<String>) = storedSummaryReader.storedSummariesChanged(keys)

    suspend fun spread(job: Job) = cancellations.broadcastCancellation(job)

    fun takeCancelledTasks(body: ByteArray): ByteArray = cancellations.receiveCancellation(body)

    suspend fun ask(
        host: String,
        what: String,
        jobId: String,
        timeoutMs: Long,
    ): PeerJobResponse? = jobClient.request(host, what, jobId, timeoutMs)

    companion object {
        const val NEWS = PeerPaths.DELTA
        const val CANCELLED_TASKS = PeerPaths.CANCELLED_TASKS
        const val QUERY = PeerPaths.QUERY_JOB
        const val CANCEL = PeerPaths.CANCEL_JOB
    }
}
