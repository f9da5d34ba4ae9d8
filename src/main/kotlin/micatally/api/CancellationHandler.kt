package micatally.api

import micatally.http.HttpResponse
import micatally.job.JobManager
import micatally.job.JobState
import micatally.peer.PeerPaths
import micatally.peer.Peers
import micatally.wire.JobAnswer
import micatally.wire.JobSpec
import micatally.wire.PeerJobResponse

/**
 * Handles users' cancellations. A cancellation is confirmed only once it is durable and known to every controller that
 * may answer the heartbeats of workers.
 */
class CancellationHandler(
    private val jobManager: JobManager,
    private val durability: JobDurability,
    private val peers: Peers,
    private val lookup: JobLookup,
    private val contact: ControllerContact,
) {
    /**
     * Cancels the job here, or asks the leader of its shard to do so.
     *
     * Returns 200 with the job's status, 404 if there is no such job, or 503 if the cancellation can't be confirmed
     * yet. After a 503 the cancellation may have begun, and then continues.
     */
    suspend fun cancel(jobId: String): HttpResponse {
        if (!JobSpec.isValidId(jobId)) return noSuchJob()
        jobManager.final(jobId)?.let { return briefStatus(it) }
        cancelHere(jobId)?.let { return briefStatus(it) }
        if (jobManager.job(jobId) != null) return unavailable("the cancellation is not known everywhere yet")
        if (lookup.shardOf(jobId) == null) responseIfNotCancellable(jobId)?.let { return it }
        val shard = lookup.shardOf(jobId) ?: return unavailable("the job's owner is not known")
        // This controller may have become the leader of the shard during the lookup.
        cancelHere(jobId)?.let { return briefStatus(it) }
        val answer = lookup.askLeader(shard, PeerPaths.CANCEL_JOB, jobId)
        return if (answer != null) briefStatus(answer) else unavailable("the job's owner can't be reached")
    }

    /**
     * Looks the job up in the state store, which also caches its shard. Returns the response if the job is over, does
     * not exist or can't be looked up, and null if it can be cancelled.
     */
    private suspend fun responseIfNotCancellable(jobId: String): HttpResponse? =
        when (val result = lookup.find(jobId)) {
            LookupResult.Missing -> noSuchJob()
            LookupResult.Unclear -> lookupUnavailable()
            is LookupResult.Known -> if (isFinal(result.answer)) briefStatus(result.answer) else null
        }

    private fun isFinal(answer: JobAnswer) = answer.status == JobAnswer.DONE || answer.status == JobAnswer.CANCELLED

    /**
     * Cancels the job if it is in a shard that this controller leads. Returns null if it is not, or if the cancellation
     * can't be confirmed in time.
     */
    private suspend fun cancelHere(jobId: String): JobAnswer? {
        val job = jobManager.job(jobId) ?: return null
        if (!contact.holdsLease && !contact.isStateReachable) return null
        jobManager.cancel(job)
        if (durability.await(job) != WriteOutcome.DURABLE) return null
        val isOver = job.durableState == JobState.CANCELLED || job.durableState == JobState.DONE
        if (!isOver) return null
        if (!jobManager.cancellations.mayConfirm(job)) {
            peers.cancellations.broadcastCancellation(job)
            if (!jobManager.cancellations.mayConfirm(job)) return null
        }
        return job.answer()
    }

    /** Cancels the job for another controller, which has found this one to be the leader of the job's shard. */
    suspend fun peerCancel(jobId: String): PeerJobResponse = peerResponse(jobManager.final(jobId) ?: cancelHere(jobId))
}
