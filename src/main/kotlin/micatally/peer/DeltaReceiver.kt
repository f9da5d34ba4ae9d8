@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package micatally.peer

import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.job.JobManager
import micatally.membership.Membership
import micatally.wire.PeerDelta
import micatally.wire.PeerDeltaResponse
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** Applies the deltas that peers send, and builds the responses. */
internal class DeltaReceiver(
    private val connections: List<PeerConnection>,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val jobManager: JobManager,
    private val peerSummaries: PeerCapacitySummaries,
    private val listener: PeerListener,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.peer")

    /** The number of statuses that this controller has missed and requested from peers since its start. */
    var missedStatusCount = 0L
        private set

    /**
     * Handles an encoded [PeerDelta] and returns the encoded [PeerDeltaResponse]. Does not suspend.
     *
     * @throws kotlinx.serialization.SerializationException if [body] is malformed
     */
    fun receiveDelta(body: ByteArray): ByteArray {
        val delta = ProtoBuf.decodeFromByteArray<PeerDelta>(body)
        val connection = connections.find { it.peer.host == delta.host }
        connection?.deltaReceived(nowMs(), delta.hasStateStoreContact)
        val hasNewStatus = applyStatuses(delta)
        val missedMachines = applyAcknowledgements(delta)
        val isSummaryComplete = applySummary(delta)
        val isCapacityKnown = isSummaryComplete && delta.summaryVersion != PeerDelta.UNKNOWN_SUMMARY_VERSION
        if (isCapacityKnown && delta.hasStateStoreContact) connection?.capacityKnownAt = nowMs()
        if (delta.deletionRequests.isNotEmpty()) listener.deletionRequested(delta.deletionRequests, delta.host)
        if (delta.summary != null || hasNewStatus) listener.clusterStateChanged()
        return ProtoBuf.encodeToByteArray(response(isSummaryComplete, missedMachines))
    }

    /**
     * Applies the changes of the sender's summary, if the delta has any.
     *
     * @return whether this controller has the sender's current summary now
     */
    private fun applySummary(delta: PeerDelta): Boolean {
        val isApplied = delta.summary?.let { peerSummaries.apply(it) } ?: true
        return isApplied && !peerSummaries.isMissed(delta.host, delta.process, delta.summaryVersion)
    }

    /** Returns whether any of the forwarded statuses was newer than what this controller knew. */
    private fun applyStatuses(delta: PeerDelta): Boolean {
        var hasNewStatus = false
        for (status in delta.machineStatuses) if (machines.applyForwarded(status)) hasNewStatus = true
        return hasNewStatus
    }

    /**
     * Returns the machines of which this controller has missed a newer status. The sender forwards a status only when
     * it changes, so a controller that was not there to receive it would otherwise not learn of it until the next
     * change. Acknowledgements come regularly, so a status that is lost again is requested again.
     */
    private fun applyAcknowledgements(delta: PeerDelta): List<String> {
        val missedMachines = ArrayList<String>()
        for (status in delta.heartbeatAcknowledgements) {
            if (machines.applyAcknowledgement(status)) missedMachines.add(status.machine)
            machines.of(status.machine)?.recordHeardBy(delta.host, nowMs() - status.ageMs)
        }
        if (missedMachines.isNotEmpty()) log.debug("requesting missed statuses of {}: {}", delta.host, missedMachines)
        missedStatusCount += missedMachines.size
        return missedMachines
    }

    /**
     * The fencing token is 0 unless the list of cancelled tasks is complete, because the peer takes the token as
     * confirmation that it knows all of them.
     */
    private fun response(
        isSummaryComplete: Boolean,
        missedMachines: List<String>,
    ): PeerDeltaResponse {
        val cancelledTasks = jobManager.cancellations.unfinishedTasks()
        val maxTasks = maxOf(MIN_CANCELLED_TASK_LIMIT, machines.byName.size)
        val isListComplete = jobManager.areShardsLoaded && cancelledTasks.size <= maxTasks
        return PeerDeltaResponse(
            needsFullSummary = !isSummaryComplete,
            fencingToken = if (isListComplete) membership.sharedKeys.fencingToken else 0,
            cancelledTasks = cancelledTasks.take(maxTasks),
            missedMachines = missedMachines,
        )
    }

    private companion object {
        /** A response lists at most this many cancelled tasks, or as many as there are machines if that is more. */
        const val MIN_CANCELLED_TASK_LIMIT = 500
    }
}
