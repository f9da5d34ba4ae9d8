@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package micatally.peer

import kotlinx.coroutines.delay
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.membership.Keys
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.wire.HeartbeatAcknowledgements

/** Writes this controller's capacity summary and heartbeat acknowledgements to the state store, for unreachable peers. */
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
    private var publishedVersion = 0L

    /** Publishes twice a lease; does not return. */
    suspend fun run() {
        while (true) {
            delay(timings.publishIntervalMs)
            publishCapacity()
            publishHeartbeats()
        }
    }

    private suspend fun publishCapacity() {
        if (localSummary.version == publishedVersion) return
        publishedVersion = localSummary.version
        capacityPartitions.write(
            localSummary.heldMachines,
            maxWrites(),
            localSummary::contentOf,
        ) { partitionIndex, machines ->
            ProtoBuf.encodeToByteArray(
                localSummary.partition(machines, partitionIndex, capacityPartitions.partitionCount),
            )
        }
    }

    private suspend fun publishHeartbeats() {
        val statuses = localHeartbeats.recent().associateBy { it.machine }
        // While a peer can't be reached directly it needs the present age of each heartbeat, changed or not.
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
     * Partitions that may be written in one publication, half a lease. Peers that are reached get everything directly, so
     * the partitions take a small share of the writes that this controller has; a larger one while a peer is not reached.
     */
    private fun maxWrites(): Int {
        val writes = settings.stateWriteRps / settings.controllers * settings.leaseMs / MS_PER_PUBLICATION_SECOND
        val share = if (isAnyPeerUnreached()) WRITE_SHARE_UNREACHED else WRITE_SHARE
        return maxOf(1, (writes * share).toInt())
    }

    private fun isAnyPeerUnreached() = connections.any { it.failuresInRow > 1 }

    private companion object {
        /** Turns a lease in milliseconds into the seconds of the half of it. */
        const val MS_PER_PUBLICATION_SECOND = 2000

        /** Shares of this controller's writes to the state store that summaries may take. */
        const val WRITE_SHARE = 0.125
        const val WRITE_SHARE_UNREACHED = 0.5
    }
}
