@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package micatally.peer

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.job.JobManager
import micatally.ownership.ListedAttempt
import micatally.wire.AttemptOnMachine
import micatally.wire.OwnershipQuery
import micatally.wire.OwnershipResponse
import micatally.worker.AttemptId

/** Asks the other controllers which attempts on machines they want, and answers the same question of theirs. */
class OwnershipExchange internal constructor(
    private val connections: List<PeerConnection>,
    private val http: HttpCaller,
    private val timings: PeerTimings,
    private val jobManager: JobManager,
) {
    /**
     * Returns the host of the controller that has claimed the attempt, by attempt. An attempt is missing if no controller
     * claims it, or if the one that would claim it gives no answer in time or is of a version without this request.
     */
    suspend fun ownersOf(attempts: List<ListedAttempt>): Map<ListedAttempt, String> {
        val body = ProtoBuf.encodeToByteArray(OwnershipQuery(attempts.map { it.encode() }))
        val owners = HashMap<ListedAttempt, String>()
        coroutineScope {
            for (connection in connections) launch { ask(connection, body, attempts, owners) }
        }
        return owners
    }

    private fun ListedAttempt.encode() = AttemptOnMachine(machine.name, id.jobId, id.taskIndex, id.attempt)

    private suspend fun ask(
        connection: PeerConnection,
        body: ByteArray,
        attempts: List<ListedAttempt>,
        owners: MutableMap<ListedAttempt, String>,
    ) {
        val peer = connection.peer
        val outcome = http.call(peer.addr, "POST", PeerPaths.OWNERSHIP, body, timings.deltaTimeoutMs)
        if (outcome !is Outcome.Answer || outcome.status != HTTP_OK) return
        for (index in ProtoBuf.decodeFromByteArray<OwnershipResponse>(outcome.body).ownedIndexes) {
            attempts.getOrNull(index)?.let { owners[it] = peer.host }
        }
    }

    /**
     * Handles an encoded [OwnershipQuery] from a peer and returns the encoded response.
     *
     * @throws kotlinx.serialization.SerializationException if [body] is malformed
     */
    fun receiveQuery(body: ByteArray): ByteArray {
        val attempts = ProtoBuf.decodeFromByteArray<OwnershipQuery>(body).attempts
        return ProtoBuf.encodeToByteArray(OwnershipResponse(attempts.indices.filter { isOwned(attempts[it]) }))
    }

    private fun isOwned(attempt: AttemptOnMachine): Boolean {
        if (!jobManager.isLedHere(attempt.jobId)) return false
        val id = AttemptId(attempt.jobId, attempt.taskIndex, attempt.attempt)
        return jobManager.currentAttempt(id, attempt.machine) != null
    }

    private companion object {
        const val HTTP_OK = 200
    }
}
