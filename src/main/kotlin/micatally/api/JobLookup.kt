package micatally.api

import com.google.common.cache.CacheBuilder
import kotlinx.serialization.json.JsonObject
import micatally.archive.RecordLookup
import micatally.job.JobManager
import micatally.job.JobRecord
import micatally.job.JobState
import micatally.job.UnreadableRecord
import micatally.job.decodeRecord
import micatally.membership.Membership
import micatally.peer.PeerPaths
import micatally.peer.Peers
import micatally.settings.Settings
import micatally.state.ReadResult
import micatally.state.Urgency
import micatally.wire.JobAnswer

/** The result of a lookup of a job, whichever controller leads its shard. */
sealed interface LookupResult {
    /** The job exists, and its user may be told [answer]. */
    class Known(
        val answer: JobAnswer,
    ) : LookupResult

    /** There is no such job. */
    data object Missing : LookupResult

    /** Nothing can be told about the job at the moment, not even whether it exists. */
    data object Unclear : LookupResult
}

/**
 * Finds out what users may be told about a job. The sources are the memory of this controller, the leader of the job's
 * shard, and the job's record in the state store.
 */
class JobLookup(
    private val settings: Settings,
    private val membership: Membership,
    private val jobManager: JobManager,
    private val peers: Peers,
    private val recordLookup: RecordLookup,
    private val contact: ControllerContact,
) {
    /**
     * The shards of jobs that were read lately, by job id. Entries never expire, because a job never changes its shard.
     */
    private val shardsByJobId = CacheBuilder.newBuilder().maximumSize(MAX_CACHED_SHARDS).build<String, String>()

    /**
     * How long to wait for a peer's response. Users wait two seconds for the response to a query, and if the peer does
     * not respond, the state store has to be asked within that time too.
     */
    private val peerTimeoutMs = minOf(settings.leaseMs / PEER_TIMEOUTS_PER_LEASE, MAX_PEER_TIMEOUT_MS)

    /** The shard of a job whose record was read lately, or null if the shard is not known. */
    fun shardOf(jobId: String): String? = shardsByJobId.getIfPresent(jobId)

    /**
     * Returns what this controller may tell about the job from memory, or null if the job has to be looked up. It may
     * tell final states, which never change, and the status of the jobs of its own shard while no other controller can
     * have become the leader of that shard.
     */
    fun fromMemory(jobId: String): JobAnswer? {
        jobManager.final(jobId)?.let { return it }
        val job = jobManager.job(jobId) ?: return null
        if (job.durableState == JobState.NEW || job.isEndBeingWritten || !contact.holdsLease) return null
        // The lease keeps other controllers only from this controller's own shard. A shard that it has taken over goes
        // back to its host as soon as that host starts again, so the status of its jobs must be read from the state
        // store.
        val isOfOwnShard = job.shard.name == settings.host
        if (!isOfOwnShard || !jobManager.cancellations.mayConfirm(job)) return null
        return job.answer()
    }

    /**
     * Asks the leader of the job's shard if the shard is known. If it is not, or the leader gives no usable response,
     * reads the job's record from the state store, provided that the state store is in contact.
     *
     * @param read reads the record
     */
    suspend fun find(
        jobId: String,
        read: suspend () -> ReadResult = { recordLookup.read(jobId, Urgency.ACCEPTANCE) },
    ): LookupResult {
        val shard = shardOf(jobId)
        if (shard != null) askLeader(shard, PeerPaths.QUERY_JOB, jobId)?.let { return LookupResult.Known(it) }
        if (!contact.isStateReachable) return LookupResult.Unclear
        return when (val result = read()) {
            is ReadResult.Unavailable -> LookupResult.Unclear
            is ReadResult.Missing -> LookupResult.Missing
            is ReadResult.Found ->
                try {
                    decodeRecord(jobId) { fromRecord(jobId, result.item.value) }
                } catch (_: UnreadableRecord) {
                    LookupResult.Unclear
                }
        }
    }

    private fun fromRecord(
        jobId: String,
        record: JsonObject,
    ): LookupResult {
        shardsByJobId.put(jobId, JobRecord(record).shard)
        // The job is cancelled, but other controllers may not know it yet. Only the leader of its shard can tell when
        // they do.
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
     * Forwards a request about the job to the leader of its shard.
     *
     * @param path [PeerPaths.QUERY_JOB] or [PeerPaths.CANCEL_JOB]
     * @return null if the leader is this controller, is not known, is not in contact or gives no usable response in
     * time
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
        const val MAX_CACHED_SHARDS = 20_000L

        /** The wait for a peer's response is at most a worker's lease divided by this number. */
        const val PEER_TIMEOUTS_PER_LEASE = 20
        const val MAX_PEER_TIMEOUT_MS = 1000L
    }
}
