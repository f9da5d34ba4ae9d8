package micatally.api

import kotlinx.serialization.json.JsonObject
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.errorResponse
import micatally.job.Job
import micatally.job.JobManager
import micatally.job.JobShard
import micatally.job.JobState
import micatally.scheduling.Scheduler
import micatally.wire.JobAnswer
import micatally.wire.JobSpec
import micatally.wire.MalformedMessage
import micatally.wire.bytes
import micatally.wire.parseObject
import micatally.wire.submittedJobId

/**
 * Handles users' submissions, which are idempotent. The job id decides whether a submission is a repetition. If a job
 * with this id has been accepted, the response is its status, whatever the repeated submission contains.
 */
class SubmissionHandler(
    private val admission: AdmissionRules,
    private val contact: ControllerContact,
    private val jobManager: JobManager,
    private val durability: JobDurability,
    private val scheduler: Scheduler,
    private val lookup: JobLookup,
    private val nowMs: () -> Long,
) {
    /**
     * Accepts the job if all checks pass, and suspends until it is durable.
     *
     * Returns 201 if the job has been accepted now, 200 with its status if it had been accepted before, 400 or 422 if
     * it can't be accepted, and 503 if the outcome is not known in time. After a 503 the job may have been accepted,
     * and the user has to repeat the submission.
     */
    suspend fun submit(request: HttpRequest): HttpResponse {
        val body =
            try {
                parseObject(request.body, JobSpec.KNOWN_FIELDS)
            } catch (e: MalformedMessage) {
                return errorResponse(BAD_REQUEST, e.message ?: "")
            }
        val jobId = submittedJobId(body) ?: return errorResponse(BAD_REQUEST, "ref must look like j-000412")
        lookup.fromMemory(jobId)?.let { return fullStatus(it) }
        return submit(jobId, body)
    }

    /**
     * Submits a job whose id is valid. The job may have been accepted before, by any controller. The response is its
     * status then, so a refusal because of the content of this submission has to go through [statusOr].
     */
    private suspend fun submit(
        jobId: String,
        body: JsonObject,
    ): HttpResponse {
        val spec =
            try {
                JobSpec.parse(body)
            } catch (e: MalformedMessage) {
                return statusOr(jobId, errorResponse(BAD_REQUEST, e.message ?: ""))
            }
        admission.check(spec)?.let { return statusOr(jobId, it) }
        val shard = writableShard() ?: return unavailable("no contact with the state service")
        obstacleToStart(shard, jobId)?.let { return statusOr(jobId, it) }
        if (contact.isWriteQueueFull) return unavailable("too many submissions at once")
        val submittedBefore = jobManager.job(jobId)
        return if (submittedBefore != null) respondToRepetition(submittedBefore, shard) else accept(spec, shard)
    }

    /** This controller's own shard, or null if no job can be written to it now. */
    private fun writableShard(): JobShard? =
        jobManager.ownShard()?.takeIf {
            contact.isStateReachable &&
                contact.holdsLease
        }

    /** Returns a 503 if this controller might never start the new job, or null if there is no such obstacle. */
    private fun obstacleToStart(
        shard: JobShard,
        jobId: String,
    ): HttpResponse? {
        if (jobManager.isLoadOverdue(shard)) return unavailable("the ledger can't be loaded")
        val isCutOff = contact.isCutOffFromWorkers && jobManager.job(jobId) == null
        return if (isCutOff) unavailable("no contact with the workers") else null
    }

    /** Returns the response to a repeated submission of [job], which has been submitted to this controller before. */
    private suspend fun respondToRepetition(
        job: Job,
        shard: JobShard,
    ): HttpResponse {
        // The job is in a shard that was taken over. Only the state store can tell whether this controller still leads
        // it.
        if (job.shard !== shard) return statusOr(job.jobId, unavailable("not stored yet"))
        return awaitDurable(job) ?: fullStatus(job.answer())
    }

    /** Creates the job, places its tasks and waits until it is durable. */
    private suspend fun accept(
        spec: JobSpec,
        shard: JobShard,
    ): HttpResponse {
        val job = jobManager.create(spec, shard)
        scheduler.placeJob(job, nowMs())
        durability.requestWrite(job)
        awaitDurable(job)?.let { return it }
        if (job.durableState != JobState.OPEN) return fullStatus(job.answer())
        val accepted = JobAnswer(job.jobId, JobAnswer.PENDING, doneCount = 0, runningCount = 0)
        return HttpResponse(CREATED, accepted.brief().bytes())
    }

    /**
     * Suspends until the job is durable. Returns null if its status may be told from memory then, and the response to
     * the user otherwise.
     */
    private suspend fun awaitDurable(job: Job): HttpResponse? {
        when (durability.await(job)) {
            WriteOutcome.PENDING -> return unavailable("not stored yet")
            WriteOutcome.REFUSED -> return statusOr(job.jobId, unavailable("not stored"))
            WriteOutcome.DURABLE -> {}
        }
        if (!jobManager.cancellations.mayConfirm(job)) return unavailable("a cancellation is under way")
        // The job may have ended meanwhile, and the write of its end may still be in progress.
        val mayAnswerFromMemory = !job.isEndBeingWritten && contact.holdsLease
        return if (mayAnswerFromMemory) null else statusOr(job.jobId, unavailable("not stored yet"))
    }

    /** Returns the job's status if any controller has accepted it before, and [otherwise] if there is no such job. */
    private suspend fun statusOr(
        jobId: String,
        otherwise: HttpResponse,
    ): HttpResponse =
        when (val result = lookup.find(jobId)) {
            is LookupResult.Known -> fullStatus(result.answer)
            LookupResult.Missing -> otherwise
            LookupResult.Unclear -> lookupUnavailable()
        }
}
