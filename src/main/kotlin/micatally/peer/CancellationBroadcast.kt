@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package micatally.peer

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.job.Job
import micatally.job.JobManager
import micatally.membership.Membership
import micatally.wire.CancelledTaskList

/** Makes cancellations known to all controllers, so that whichever hears a worker can stop its cancelled tasks. */
class CancellationBroadcast internal constructor(
    private val connections: List<PeerConnection>,
    private val http: HttpCaller,
    private val timings: PeerTimings,
    private val membership: Membership,
    private val jobManager: JobManager,
) {
    /**
     * The time up to which this controller has learned of every cancellation from the other controllers themselves: each
     * has listed its cancelled tasks in a response. Equal fencing tokens show that no shard has changed hands between the
     * responses. While the state store is unavailable to all, this keeps the workers' leases alive as long as the
     * controllers hear each other.
     *
     * [NEVER_MS] if there are no peers, this controller's shards are not loaded, or some peer has not confirmed under the
     * present fencing token.
     */
    fun confirmedByPeersAt(): Long {
        val fencingToken = membership.sharedKeys.fencingToken
        if (connections.isEmpty() || !jobManager.areShardsLoaded) return NEVER_MS
        if (connections.any { it.confirmedFencingToken != fencingToken }) return NEVER_MS
        return connections.minOf { it.cancellationsConfirmedAt }
    }

    /**
     * Sends the tasks of a cancelled job to the controllers that have not confirmed them yet, and waits for the responses.
     * Does nothing until the tasks are in the state store: see [micatally.job.Cancellations.mayConfirm].
     */
    suspend fun broadcastCancellation(job: Job) {
        if (job.publishedAt == null) return
        val body = ProtoBuf.encodeToByteArray(CancelledTaskList(job.cancelledTasks()))
        coroutineScope {
            for (connection in connections) {
                if (connection.peer.host !in job.confirmedBy) launch { sendTo(connection, job, body) }
            }
        }
    }

    private suspend fun sendTo(
        connection: PeerConnection,
        job: Job,
        body: ByteArray,
    ) {
        val peer = connection.peer
        val outcome = http.call(peer.addr, "POST", PeerPaths.CANCELLED_TASKS, body, timings.cancellationTimeoutMs)
        if (outcome is Outcome.Answer && outcome.status == HTTP_OK) job.confirmedBy.add(peer.host)
    }

    /**
     * Handles an encoded [CancelledTaskList] of a peer. The empty response confirms it.
     *
     * @throws kotlinx.serialization.SerializationException if [body] is malformed
     */
    fun receiveCancellation(body: ByteArray): ByteArray {
        val list = ProtoBuf.decodeFromByteArray<CancelledTaskList>(body)
        jobManager.cancellations.cancelledTasks.take(list.cancelledTasks)
        return ByteArray(0)
    }

    private companion object {
        const val HTTP_OK = 200
    }
}
