@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package micatally.peer

import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.settings.Settings
import micatally.wire.PeerJobRequest
import micatally.wire.PeerJobResponse

/** Forwards users' requests about jobs to the controller that leads the job's shard. */
class PeerJobClient internal constructor(
    private val http: HttpCaller,
    private val settings: Settings,
) {
    /**
     * Sends a request about a job to the controller on [host].
     *
     * @param path [PeerPaths.QUERY_JOB] or [PeerPaths.CANCEL_JOB]
     * @return the peer's response; null if there is no such peer, it gives no usable response in time, or it does not
     *   know the job
     */
    suspend fun request(
        host: String,
        path: String,
        jobId: String,
        timeoutMs: Long,
    ): PeerJobResponse? {
        val peer = settings.peers.find { it.host == host } ?: return null
        val body = ProtoBuf.encodeToByteArray(PeerJobRequest(jobId))
        val outcome = http.call(peer.addr, "POST", path, body, timeoutMs)
        if (outcome !is Outcome.Answer || outcome.status != HTTP_OK) return null
        return ProtoBuf.decodeFromByteArray<PeerJobResponse>(outcome.body).takeIf { it.isKnown }
    }

    private companion object {
        const val HTTP_OK = 200
    }
}
