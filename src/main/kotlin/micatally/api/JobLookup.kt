package micatally.api

import com.google.common.cache.CacheBuilder
import kotlinx.serialization.json.JsonObject
import micatally.archive.RecordLookup
import micatally.job.JobManager
import micatally.job.JobRecord
import micatally.job.JobState
import micatally.job.UnreadableRecord
import micatally.job.readable
import micatally.membership.Membership
import micatally.peer.PeerPaths
import micatally.peer.Peers
import micatally.settings.Settings
import micatally.state.ReadResult
import micatally.state.Urgency
import micatally.wire.JobAnswer

/** What is known of a job, whichever controller leads its shard. */
sealed interface LookupResult {
    /** The job exists, and this may be told of it. */
    class Known(
        val answer: JobAnswer,
    ) : LookupResult

    /** There is no such job. */
    data object Missing : LookupResult

    /** Nothing may be said at the moment, not even whether the job exists. */
    data object Unclear : LookupResult
}

/** Finds out what may be told of a job: from memory, from the leader of its shard or from its record in the state store. */
class JobLookup(
    private val settings: Settings,
    private val membership: Membership,
    private val jobManager: JobManager,
    private val peers: Peers,
    private val records: RecordLookup,
    private val contact: ControllerContact,
) {
    /** Which shard a job belongs to never changes. */
    private val shardOfJob = CacheBuilder.newBuilder().maximumSize(CACHED_SHARDS).build<String, String>()

    /** Users wait two seconds for a poll, and after a peer's silence there is the state store to be asked. */
    private val peerTimeoutMs = minOf(settings.leaseMs / PEER_TIMEOUTS_PER_LEASE, MAX_PEER_TIMEOUT_MS)

    /** The shard of a job that has been looked up lately; null if it is not known. */
    fun shardOf(jobId: String): String? = shardOfJob.getIfPresent(jobId)

    /**
     * What this controller may tell from memory: final states, which never change, and its own jobs while no other controller can have
     * become the leader of their shard. Null: the job has to be looked up.
     */
    fun fromMemory(jobId: String): JobAnswer? {
        jobManager.final(jobId)?.let { return it }
        val job = jobManager.job(jobId) ?: return null
        if (job.durableState == JobState.NEW || job.isEndBeingWritten || !contact.holdsLease) return null
        // This controller's lease keeps others from its own shard only. A shard that it has taken over goes back to its
        // host the moment that host starts again, so of its jobs only the state store can tell.
        val isOfOwnShard = job.shard.name == settings.host
        if (!isOfOwnShard || !jobManager.cancellations.mayConfirm(job)) return null
        return job.answer()
    }

    /**
     * Asks the leader of the job's shard if the shard is known, and the state store otherwise. Suspends for that.
     *
     * @param read how the record is read
     */
    suspend fun find(
        jobId: String,
        read: suspend () -> ReadResult = { records.read(jobId, Urgency.ACCEPTANCE) },
    ): LookupResult {
        val shard = shardOf(jobId)
        if (shard != null) askLeader(shard, PeerPaths.QUERY_JOB, jobId)?.let { return LookupResult.Known(it) }
        if (!contact.isStateReachable) return LookupResult.Unclear
        return when (val result = read()) {
            is ReadResult.Unavailable -> LookupResult.Unclear
            is ReadResult.Missing -> LookupResult.Missing
            is ReadResult.Found ->
                try {
                    readable(jobId) { fromRecord(jobId, result.item.value) }
                } catch (_: UnreadableRecord) {
                    LookupResult.Unclear
                }
        }
    }

    private fun fromRecord(
        jobId: String,
        record: JsonObject,
    ): LookupResult {
        shardOfJob.put(jobId, JobRecord(record).shard)
        // Cancelled, but not all controllers know of it yet: only the leader of its shard can tell when they do.
        if (!JobRecord(record).isCancellationConfirmable) return LookupResult.Unclear
        val answer = answerFromRecord(jobId, record)
        jobManager.rememberFinal(answer)
        return LookupResult.Known(answer)
    }

    private fun answerFromRecord(
        jobId: String,
        record: JsonObject,
    ): JobAnswer {
        val attempts = JobRecord(record).attemptCount
        val status =
            when (JobRecord(record).state) {
                JobState.DONE -> JobAnswer.DONE
                JobState.CANCELLED -> JobAnswer.CANCELLED
                else -> if (attempts > 0) JobAnswer.RUNNING else JobAnswer.PENDING
            }
        val running = if (status == JobAnswer.RUNNING) attempts else 0
        return JobAnswer(jobId, status, JobRecord(record).doneCount, running)
    }

    /**
     * Passes a request for the job on to the leader of its shard.
     *
     * @param path [PeerPaths.QUERY_JOB] or [PeerPaths.CANCEL_JOB]
     * @return null if the leader is this controller, is not known or gave no usable response in time
     */
    suspend fun askLeader(
        shard: String,
        path: String,
        jobId: String,
    ): JobAnswer? {
        val host = membership.sharedKeys.leader(shard)?.host ?: return null
        if (host == settings.host || !membership.sharedKeys.isLive(host) ||
            !peers.contacts.isReachable(host)
        ) {
            return null
        }
        val response = peers.jobClient.request(host, path, jobId, peerTimeoutMs) ?: return null
        val answer = JobAnswer(jobId, response.status, response.doneCount, response.runningCount)
        jobManager.rememberFinal(answer)
        return answer
    }

    private companion object {
        const val CACHED_SHARDS = 20_000L
        const val PEER_TIMEOUTS_PER_LEASE = 20
        const val MAX_PEER_TIMEOUT_MS = 1000L
    }
}
