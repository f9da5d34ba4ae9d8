@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package micatally.peer

import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.membership.Keys
import micatally.membership.Membership
import micatally.settings.Settings
import micatally.wire.CapacitySummary
import micatally.wire.HeartbeatAcknowledgements
import micatally.worker.MachineRegistry

/**
 * Applies the summaries and heartbeat acknowledgements that peers publish in the state store for unreachable peers.
 *
 * A status that this controller has missed can't be requested from a peer that it does not reach. The listener is then
 * told to request it from the machine itself.
 */
internal class StoredSummaryReader(
    private val connections: List<PeerConnection>,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val peerSummaries: PeerCapacitySummaries,
    private val listener: PeerListener,
    settings: Settings,
) {
    private val localCapacityPrefix = Keys.CAPACITY + settings.host + "/"
    private val localHeartbeatsPrefix = Keys.HEARTBEATS + settings.host + "/"

    /**
     * To be called when the values of these keys have changed in the state store. Keys of this controller and keys of
     * other kinds are skipped.
     */
    fun storedSummariesChanged(keys: Set<String>) {
        for (key in keys) {
            if (isCapacityOfPeer(key)) {
                bytesOf(key)?.let { peerSummaries.applyPartition(ProtoBuf.decodeFromByteArray<CapacitySummary>(it)) }
            } else if (isHeartbeatsOfPeer(key)) {
                applyHeartbeats(key)
            }
        }
    }

    private fun isCapacityOfPeer(key: String) = key.startsWith(Keys.CAPACITY) && !key.startsWith(localCapacityPrefix)

    private fun isHeartbeatsOfPeer(key: String) =
        key.startsWith(Keys.HEARTBEATS) && !key.startsWith(localHeartbeatsPrefix)

    private fun bytesOf(key: String): ByteArray? = membership.summaries.value(key)?.let { SummaryPartitions.unpack(it) }

    private fun hostIn(key: String) = key.removePrefix(Keys.HEARTBEATS).substringBefore('/')

    private fun isUnreached(host: String) = connections.any { it.peer.host == host && it.isUnreached }

    private fun applyHeartbeats(key: String) {
        val bytes = bytesOf(key) ?: return
        val isPeerUnreached = isUnreached(hostIn(key))
        for (status in ProtoBuf.decodeFromByteArray<HeartbeatAcknowledgements>(bytes).machineStatuses) {
            val isMissed = machines.applyAcknowledgement(status)
            if (isMissed && isPeerUnreached) machines.of(status.machine)?.let { listener.statusUnavailable(it) }
        }
    }
}
