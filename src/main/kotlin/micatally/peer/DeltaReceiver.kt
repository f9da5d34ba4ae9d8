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
        val isSummaryComplete = delta.summary?.let { peerSummaries.apply(it) } ?: true
        if (isSummaryComplete && delta.hasStateStoreContact) connection?.capacityKnownAt = nowMs()
        if (delta.deletionRequests.isNotEmpty()) listener.deletionRequested(delta.deletionRequests, delta.host)
        if (delta.summary != null || hasNewStatus) listener.clusterStateChanged()
        return ProtoBuf.encodeToByteArray(response(isSummaryComplete))
    }

    /** Returns whether any of the forwarded statuses was newer than what this controller knew. */
    private fun applyStatuses(delta: PeerDelta): Boolean {
        var hasNewStatus = false
        for (status in delta.machineStatuses) if (machines.applyForwarded(status)) hasNewStatus = true
        for (status in delta.heartbeatAcknowledgements) {
            machines.applyAcknowledgement(status)
            machines.of(status.machine)?.recordHeardBy(delta.host, nowMs() - status.ageMs)
        }
        return hasNewStatus
    }

    /**
     * The fencing token is 0 unless the list of cancelled tasks is complete, because the peer takes the token as
     * confirmation that it knows all of them.
     */
    private fun response(isSummaryComplete: Boolean): PeerDeltaResponse {
        val cancelledTasks = jobManager.cancellations.unfinishedTasks()
        val maxTasks = maxOf(MIN_CANCELLED_TASK_LIMIT, machines.byName.size)
        val isListComplete = jobManager.areShardsLoaded && cancelledTasks.size <= maxTasks
        return PeerDeltaResponse(
            needsFullSummary = !isSummaryComplete,
            fencingToken = if (isListComplete) membership.sharedKeys.fencingToken else 0,
            cancelledTasks = cancelledTasks.take(maxTasks),
        )
    }

    private companion object {
        /** A response lists at most this many cancelled tasks, or as many as there are machines if that is more. */
        const val MIN_CANCELLED_TASK_LIMIT = 500
    }
}
