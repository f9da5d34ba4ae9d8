@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package micatally.peer

import kotlinx.coroutines.delay
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.membership.Keys
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.wire.HeartbeatAcknowledgements

/**
 * Publishes this controller's capacity summary and heartbeat acknowledgements in the state store, for unreachable
 * peers.
 */
internal class SummaryPublisher(
    private val connections: List<PeerConnection>,
    private val settings: Settings,
    private val timings: PeerTimings,
    state: StateStoreClient,
    private val localSummary: LocalCapacitySummary,
    private val localHeartbeats: LocalHeartbeats,
) {
    private val capacityPartitions = SummaryPartitions(state, settings.valueBytes, Keys.CAPACITY + settings.host)
    private val heartbeatPartitions = SummaryPartitions(state, settings.valueBytes, Keys.HEARTBEATS + settings.host)

    /** The version of the local summary of which all partitions were last stored. */
    private var publishedVersion = 0L

    /** Publishes every [PeerTimings.publishIntervalMs]; never returns. */
    suspend fun run() {
        while (true) {
            delay(timings.publishIntervalMs)
            publishCapacity()
            publishHeartbeats()
        }
    }

    private suspend fun publishCapacity() {
        val version = localSummary.version
        if (version == publishedVersion) return
        val isComplete =
            capacityPartitions.write(
                localSummary.heldMachines,
                maxWrites(),
                localSummary::contentOf,
            ) { partitionIndex, machines ->
                ProtoBuf.encodeToByteArray(
                    localSummary.partition(machines, partitionIndex, capacityPartitions.partitionCount),
                )
            }
        if (isComplete) publishedVersion = version
    }

    private suspend fun publishHeartbeats() {
        val statuses = localHeartbeats.recent().associateBy { it.machine }
        // A peer that is not reached directly needs the current age of every heartbeat, so unchanged partitions are
        // written too.
        if (isAnyPeerUnreached()) heartbeatPartitions.forgetWritten()
        heartbeatPartitions.write(
            statuses.keys,
            maxWrites(),
            { _, machines -> machines.toSet() },
        ) { _, machines ->
            ProtoBuf.encodeToByteArray(HeartbeatAcknowledgements(machines.mapNotNull { statuses[it] }))
        }
    }

    /**
     * The number of partitions that may be written in one publication interval, which is half a lease. While all peers
     * are reached they receive everything directly, so the partitions get only a small share of this controller's
     * writes to the state store. They get a larger share while some peer is not reached.
     */
    private fun maxWrites(): Int {
        val writes = settings.stateWriteRps / settings.controllers * settings.leaseMs / LEASE_MS_PER_PUBLICATION_S
        val share = if (isAnyPeerUnreached()) WRITE_SHARE_UNREACHED else WRITE_SHARE
        return maxOf(1, (writes * share).toInt())
    }

    private fun isAnyPeerUnreached() = connections.any { it.isUnreached }

    private companion object {
        /** A lease in milliseconds divided by this is half the lease, the publication interval, in seconds. */
        const val LEASE_MS_PER_PUBLICATION_S = 2000

        /**
         * The share of this controller's writes to the state store that summaries may use while all peers are reached.
         */
        const val WRITE_SHARE = 0.125

        /** The share while some peer is not reached. */
        const val WRITE_SHARE_UNREACHED = 0.5
    }
}
