package micatally.controller

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.api.UserApi
import micatally.config.ConfigurationService
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.errorResponse
import micatally.peer.PeerPaths
import micatally.peer.Peers
import micatally.wire.PeerJobRequest

/** Routes the requests that arrive on the address for other controllers and for operators' configuration commands. */
class PeerRouter(
    private val peers: Peers,
    private val userApi: UserApi,
    private val configuration: ConfigurationService,
    private val cpuUsage: CpuUsage,
) {
    /**
     * Returns the response of the resource that [request] names. Returns 405 if the request is not a POST, 404 if there
     * is no such resource, and 400 if the body can't be decoded.
     */
    suspend fun route(request: HttpRequest): HttpResponse {
        if (request.method != "POST") return errorResponse(METHOD_NOT_ALLOWED, "use POST")
        val body =
            try {
                respond(request.path, request.body)
            } catch (_: SerializationException) {
                return errorResponse(BAD_REQUEST, "malformed message")
            }
        if (body == null) return errorResponse(NOT_FOUND, "no such resource")
        return HttpResponse(OK, body, HttpResponse.BINARY)
    }

    /** Returns the encoded response of the resource at [path], or null if there is no such resource. */
    @OptIn(ExperimentalSerializationApi::class)
    private suspend fun respond(
        path: String,
        body: ByteArray,
    ): ByteArray? =
        when (path) {
            PeerPaths.DELTA -> applyDelta(body)
            PeerPaths.CANCELLED_TASKS -> peers.cancellations.receiveCancellation(body)
            PeerPaths.OWNERSHIP -> peers.ownership.receiveQuery(body)
            PeerPaths.QUERY_JOB -> ProtoBuf.encodeToByteArray(userApi.peerQuery(decodeJobId(body)))
            PeerPaths.CANCEL_JOB -> ProtoBuf.encodeToByteArray(userApi.peerCancel(decodeJobId(body)))
            else -> configuration.handle(path, body)
        }

    private fun applyDelta(body: ByteArray): ByteArray {
        val response = cpuUsage.measure(CpuUsage.Kind.DELTAS) { peers.receiveDelta(body) }
        cpuUsage.addDelta(body.size, response.size)
        return response
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun decodeJobId(body: ByteArray): String = ProtoBuf.decodeFromByteArray<PeerJobRequest>(body).jobId

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val METHOD_NOT_ALLOWED = 405
    }
}
