@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package micatally.peer

import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.job.JobManager
import micatally.membership.Membership
import micatally.settings.Settings
import micatally.wire.MachineStatus
import micatally.wire.PeerDelta
import micatally.wire.PeerDeltaResponse
import micatally.worker.MachineRegistry
import micatally.worker.UnreachableMachines
import org.slf4j.LoggerFactory

/** Builds the deltas for peers, sends them and processes the responses. */
internal class DeltaSender(
    private val http: HttpCaller,
    private val settings: Settings,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val unreachableMachines: UnreachableMachines,
    private val jobManager: JobManager,
    private val localSummary: LocalCapacitySummary,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.peer")
    private val timings = PeerTimings(settings)
    private val localHeartbeats = LocalHeartbeats(machines, timings, nowMs)

    /** The deletion requests of the last delta, to log changes only. */
    private var lastDeletionRequests = emptyList<String>()

    /**
     * The most machine statuses in one delta. Every machine may have a new status in each heartbeat interval, so the
     * deltas of one interval together have room for all machines.
     */
    private val maxStatuses
        get() = maxOf(MIN_STATUS_LIMIT, machines.byName.size / PeerTimings.EXCHANGES_PER_HEARTBEAT)

    /** Whether a delta is to be sent to the peer now. */
    fun isDeltaDue(connection: PeerConnection): Boolean =
        !connection.isExchanging && nowMs() >= connection.retryAt && hasChangesFor(connection)

    private fun hasChangesFor(connection: PeerConnection): Boolean =
        connection.hasUnsentMachines ||
            connection.acknowledgedSummaryVersion != localSummary.version ||
            areAcknowledgementsDue(connection)

    private fun areAcknowledgementsDue(connection: PeerConnection) =
        nowMs() - connection.acknowledgementsSentAt > timings.acknowledgementIntervalMs

    /** Sends one delta and waits for the response. If it fails, its contents are sent again with a later delta. */
    suspend fun sendDelta(connection: PeerConnection) {
        // Removed before the delta is sent, so that a machine that changes while it is in flight is added again.
        val changedMachines = connection.takeUnsentMachines(maxStatuses)
        val acknowledgements = if (areAcknowledgementsDue(connection)) localHeartbeats.recent() else emptyList()
        val summaryVersion = localSummary.version
        val delta = buildDelta(connection, changedMachines, acknowledgements)
        val sentAt = nowMs()
        val outcome =
            http.call(
                connection.peer.addr,
                "POST",
                PeerPaths.DELTA,
                ProtoBuf.encodeToByteArray(delta),
                timings.deltaTimeoutMs,
            )
        val isAccepted = outcome is Outcome.Answer && outcome.status == HTTP_OK
        if (!isAccepted) {
            connection.exchangeFailed(changedMachines, nowMs(), timings::retryDelayMs)
            return
        }
        connection.resetFailures()
        val response = ProtoBuf.decodeFromByteArray<PeerDeltaResponse>(outcome.body)
        connection.acknowledgedSummaryVersion = if (response.needsFullSummary) 0 else summaryVersion
        jobManager.cancellations.cancelledTasks.add(response.cancelledTasks)
        connection.exchangeSucceeded(sentAt, response.fencingToken)
        for (machine in response.missedMachines) connection.addUnsentMachine(machine)
        if (acknowledgements.isNotEmpty()) connection.acknowledgementsSentAt = sentAt
    }

    private fun buildDelta(
        connection: PeerConnection,
        changedMachines: List<String>,
        acknowledgements: List<MachineStatus>,
    ): PeerDelta {
        val baseVersion = connection.acknowledgedSummaryVersion
        return PeerDelta(
            machineStatuses = changedMachines.mapNotNull { machines.of(it) }.map { machines.statusOf(it) },
            summary = if (baseVersion != localSummary.version) localSummary.changesSince(baseVersion) else null,
            deletionRequests = deletionRequests(),
            heartbeatAcknowledgements = acknowledgements,
            hasStateStoreContact = membership.viewAgeMs < timings.stateStoreContactMs,
            host = settings.host,
            process = membership.process,
            summaryVersion = if (isCapacityKnown()) localSummary.version else PeerDelta.UNKNOWN_SUMMARY_VERSION,
        )
    }

    /** Whether this controller knows what it holds: it has loaded all its shards, or leads none. */
    private fun isCapacityKnown() = jobManager.areShardsLoaded || jobManager.shards.values.none { it.isLedHere }

    /**
     * The machines to be deleted as of now. Requests are not kept for later deltas, because what this controller knows
     * may be out of date by then.
     */
    private fun deletionRequests(): List<String> {
        val requests = unreachableMachines.names()
        if (requests != lastDeletionRequests) log.info("requesting the deletion of unreachable machines: {}", requests)
        lastDeletionRequests = requests
        return requests
    }

    private companion object {
        const val HTTP_OK = 200

        /** The lower bound of [maxStatuses]. */
        const val MIN_STATUS_LIMIT = 100
    }
}
