package micatally.api

import micatally.http.HttpResponse
import micatally.job.JobManager
import micatally.job.JobState
import micatally.peer.PeerPaths
import micatally.peer.Peers
import micatally.wire.JobAnswer
import micatally.wire.JobSpec
import micatally.wire.PeerJobResponse

/** Users' cancellations. One is confirmed only once it is durable and every controller that may answer workers knows of it. */
class CancellationHandler(
    private val jobManager: JobManager,
    private val durability: JobDurability,
    private val peers: Peers,
    private val lookup: JobLookup,
    private val contact: ControllerContact,
) {
    /**
     * Cancels the job here, or has the leader of its shard do it.
     *
     * Answers 200 with the job's status, 404 if there is no such job, or 503 if the cancellation can't be confirmed yet. It may have
     * begun then, and goes on.
     */
    suspend fun cancel(jobId: String): HttpResponse {
        if (!JobSpec.isValidId(jobId)) return noSuchJob()
        jobManager.final(jobId)?.let { return briefStatus(it) }
        cancelHere(jobId)?.let { return briefStatus(it) }
        if (jobManager.job(jobId) != null) return unavailable("the cancellation is not known everywhere yet")
        if (lookup.shardOf(jobId) == null) responseIfNotCancellable(jobId)?.let { return it }
        val shard = lookup.shardOf(jobId) ?: return unavailable("the job's owner is not known")
        // The lookup took time, in which this controller may have become the leader of the shard.
        cancelHere(jobId)?.let { return briefStatus(it) }
        val answer = lookup.askLeader(shard, PeerPaths.CANCEL_JOB, jobId)
        return if (answer != null) briefStatus(answer) else unavailable("the job's owner can't be reached")
    }

    /** Looks the job up, after which its shard is known. Returns the response if there is nothing to be cancelled. */
    private suspend fun responseIfNotCancellable(jobId: String): HttpResponse? =
        when (val result = lookup.find(jobId)) {
            LookupResult.Missing -> noSuchJob()
            LookupResult.Unclear -> lookupUnavailable()
            is LookupResult.Known -> if (isFinal(result.answer)) briefStatus(result.answer) else null
        }

    private fun isFinal(answer: JobAnswer) = answer.status == JobAnswer.DONE || answer.status == JobAnswer.CANCELLED

    /** Null if the job is not in a shard that this controller leads, or if the cancellation can't be confirmed in time. */
    private suspend fun cancelHere(jobId: String): JobAnswer? {
        val job = jobManager.job(jobId) ?: return null
        if (!contact.holdsLease && !contact.isStateReachable) return null
        jobManager.cancel(job)
        if (durability.await(job) != WriteOutcome.DURABLE) return null
        val isEnded = job.durableState == JobState.CANCELLED || job.durableState == JobState.DONE
        if (!isEnded) return null
        if (!jobManager.cancellations.mayConfirm(job)) {
            peers.cancellations.broadcastCancellation(job)
            if (!jobManager.cancellations.mayConfirm(job)) return null
        }
        return job.answer()
    }

    /** The same for another controller, which has found this one to be the leader of the job's shard. */
    suspend fun peerCancel(jobId: String): PeerJobResponse = peerResponse(jobManager.final(jobId) ?: cancelHere(jobId))
}
