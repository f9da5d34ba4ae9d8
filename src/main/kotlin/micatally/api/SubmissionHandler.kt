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
 * Users' submissions, which are idempotent: the job id decides whether a submission is a repetition, and of a job that has been accepted
 * its status is answered, whatever the repetition says.
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
     * Accepts the job if no check speaks against it, and suspends until it is durable.
     *
     * Answers 201 if it has been accepted now, 200 with its status if it was before, 400 or 422 if it can't be, and 503 if that can't be
     * said in time: then it may have been accepted, and the submission is to be repeated.
     */
    suspend fun submit(request: HttpRequest): HttpResponse {
        val body =
            try {
                parseObject(request.body)
            } catch (e: MalformedMessage) {
                return errorResponse(BAD_REQUEST, e.message ?: "")
            }
        val jobId = submittedJobId(body) ?: return errorResponse(BAD_REQUEST, "ref must look like j-000412")
        lookup.fromMemory(jobId)?.let { return fullStatus(it) }
        return submit(jobId, body)
    }

    /** From here on a repetition of an accepted job must not be judged by what it says now: see [statusOr]. */
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
        val known = jobManager.job(jobId)
        return if (known != null) repeated(known, shard) else accept(spec, shard)
    }

    /** This controller's own shard, if a job can be written to it now. */
    private fun writableShard(): JobShard? =
        jobManager.ownShard()?.takeIf {
            contact.isStateReachable &&
                contact.holdsLease
        }

    /** Why a new job might never be started by this controller. */
    private fun obstacleToStart(
        shard: JobShard,
        jobId: String,
    ): HttpResponse? {
        if (jobManager.isLoadOverdue(shard)) return unavailable("the ledger can't be loaded")
        val isCutOff = contact.isCutOffFromWorkers && jobManager.job(jobId) == null
        return if (isCutOff) unavailable("no contact with the workers") else null
    }

    /** The job has been submitted before, to this controller. */
    private suspend fun repeated(
        job: Job,
        shard: JobShard,
    ): HttpResponse {
        // Whether a shard that it has taken over is still led by this controller only the state store can tell.
        if (job.shard !== shard) return statusOr(job.jobId, unavailable("not stored yet"))
        return awaitDurable(job) ?: fullStatus(job.answer())
    }

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

    /** Suspends until the job is durable. Returns the response if the job's status may not be told then; null if it may. */
    private suspend fun awaitDurable(job: Job): HttpResponse? {
        when (durability.await(job)) {
            WriteOutcome.PENDING -> return unavailable("not stored yet")
            WriteOutcome.REFUSED -> return statusOr(job.jobId, unavailable("not stored"))
            WriteOutcome.DURABLE -> {}
        }
        if (!jobManager.cancellations.mayConfirm(job)) return unavailable("a cancellation is under way")
        // The job may have ended meanwhile, and the write that says so may be under way.
        val isSettled = !job.isEndBeingWritten && contact.holdsLease
        return if (isSettled) null else statusOr(job.jobId, unavailable("not stored yet"))
    }

    /** The job's status if it has been accepted before, by whichever controller; [otherwise] if there is no such job. */
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
