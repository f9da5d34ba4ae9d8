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

/**
 * Reports the tasks of cancelled jobs to all controllers, so that any controller that receives a worker's heartbeat can
 * stop the cancelled tasks on it.
 */
class CancellationBroadcast internal constructor(
    private val connections: List<PeerConnection>,
    private val http: HttpCaller,
    private val timings: PeerTimings,
    private val membership: Membership,
    private val jobManager: JobManager,
) {
    /**
     * The time up to which the peers have confirmed that this controller knows every cancellation, in milliseconds of
     * the controller's clock. Each peer confirms it by listing its cancelled tasks in a response to a delta. All
     * responses must carry the current fencing token, which shows that no shard has changed its leader between them.
     *
     * While no controller reaches the state store, this lets controllers renew the workers' leases as long as all of
     * them reach each other.
     *
     * [NEVER_MS] if there are no peers, if this controller's shards are not all loaded, or if some peer has not
     * confirmed with the current fencing token.
     */
    fun confirmedByPeersAt(): Long {
        val fencingToken = membership.sharedKeys.fencingToken
        if (connections.isEmpty() || !jobManager.areShardsLoaded) return NEVER_MS
        if (connections.any { it.confirmedFencingToken != fencingToken }) return NEVER_MS
        return connections.minOf { it.cancellationsConfirmedAt }
    }

    /**
     * Sends the tasks of a cancelled job to the controllers that have not confirmed them yet, and waits for the
     * responses. Does nothing until the tasks are in the state store; [micatally.job.Cancellations.mayConfirm] explains
     * why.
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
     * Handles an encoded [CancelledTaskList] from a peer. The response is empty; that it is sent confirms the list.
     *
     * @throws kotlinx.serialization.SerializationException if [body] is malformed
     */
    fun receiveCancellation(body: ByteArray): ByteArray {
        val list = ProtoBuf.decodeFromByteArray<CancelledTaskList>(body)
        jobManager.cancellations.cancelledTasks.add(list.cancelledTasks)
        return ByteArray(0)
    }

    private companion object {
        const val HTTP_OK = 200
    }
}
