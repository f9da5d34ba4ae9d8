package micatally.scale

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.HostileSubmission
import micatally.emulator.MessageObserver
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.wire.JobAnswer
import micatally.wire.MalformedMessage
import micatally.wire.bytes
import micatally.wire.parseObject
import micatally.wire.textOrNull
import kotlin.random.Random

/**
 * Emulates users who submit the planned jobs, poll their status and cancel some of them. All run on the loop of
 * [scope].
 */
class UserLoad(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val balancer: LoadBalancer,
    private val plan: UserPlan,
    private val history: RunHistory,
    private val latencies: Latencies,
    private val messageCounters: MessageCounters,
    private val random: Random,
    private val nowMs: () -> Long,
) {
    /** Set to end the load: no more jobs are submitted, and the users cancel their services. */
    @Volatile
    var isEnding = false

    /**
     * An answer to a user.
     *
     * @property status HTTP status; 0 if there was no answer
     * @property jobStatus job status in the body; null if there is none
     */
    private class Answer(
        val status: Int,
        val jobStatus: String?,
        val sentAtMs: Long,
    )

    /** Starts the users of [jobs], each of which submits its job at the planned time from now. */
    fun start(jobs: List<PlannedJob>) {
        val beganAtMs = nowMs()
        for (job in jobs) {
            scope.launch {
                delay(beganAtMs + job.atMs - nowMs())
                if (!isEnding) submitAndFollow(job)
            }
        }
    }

    private suspend fun submitAndFollow(job: PlannedJob) {
        val submittedAtMs = nowMs()
        history.submitted(job.spec)
        if (submit(job)) follow(job, submittedAtMs)
    }

    /**
     * Submits the job and returns whether it was accepted. Retries for up to [SUBMIT_RETRY_LIMIT_MS] ms, as the
     * protocol says.
     */
    private suspend fun submit(job: PlannedJob): Boolean {
        val jobId = job.spec.jobId
        val firstSentAtMs = nowMs()
        while (nowMs() - firstSentAtMs < SUBMIT_RETRY_LIMIT_MS) {
            val answer = request("POST", "/work", submission(job), REQUEST_TIMEOUT_MS)
            history.submissionAnswered(jobId, answer.status, answer.jobStatus, answer.sentAtMs)
            if (answer.status == 200 || answer.status == 201) {
                latencies.record(LatencyKind.SUBMISSION, nowMs() - firstSentAtMs)
                return true
            }
            if (answer.status == 400 || answer.status == 422) return false
            delay(RETRY_MS + random.nextLong(RETRY_MS))
        }
        return false
    }

    private fun submission(job: PlannedJob): ByteArray {
        val isHostile = plan.hostileShare > 0 && random.nextDouble() < plan.hostileShare
        return if (isHostile) HostileSubmission.withDeepField(job.spec.source) else job.spec.source.bytes()
    }

    /** Polls the job until it is done or cancelled, and cancels it when that is due. */
    private suspend fun follow(
        job: PlannedJob,
        submittedAtMs: Long,
    ) {
        val jobId = job.spec.jobId
        val pollMs = (plan.pollSeconds * 1000).toLong()
        var nextPollMs = nowMs() + random.nextLong(pollMs)
        var isCompletionSeen = false
        val endDelayMs = random.nextLong(MAX_END_DELAY_MS)
        var endingSinceMs: Long? = null
        while (!history.isFinal(jobId)) {
            delay(CHECK_INTERVAL_MS + random.nextLong(CHECK_INTERVAL_MS))
            if (isEnding && endingSinceMs == null) endingSinceMs = nowMs()
            val isPlannedCancellationDue = job.cancelAfterMs?.let { nowMs() - submittedAtMs >= it } ?: false
            val isFinalCancellationDue =
                job.spec.isService && endingSinceMs != null && nowMs() - endingSinceMs >= endDelayMs
            when {
                isPlannedCancellationDue || isFinalCancellationDue -> cancel(jobId)
                // Polls as soon as the last task has completed, to measure the time to `done`, and then once a second:
                // more frequent polls would add load.
                !isCompletionSeen && history.completedAtMs(jobId) != null -> {
                    isCompletionSeen = true
                    poll(jobId)
                    nextPollMs = nowMs() + COMPLETED_POLL_MS
                }
                nowMs() >= nextPollMs -> {
                    poll(jobId)
                    nextPollMs = nowMs() + if (isCompletionSeen) COMPLETED_POLL_MS else pollMs
                }
            }
        }
    }

    private suspend fun poll(jobId: String) {
        val answer = request("GET", "/work/$jobId", null, POLL_TIMEOUT_MS)
        history.pollAnswered(jobId, answer.status, answer.jobStatus, answer.sentAtMs)
        if (answer.status == 200) latencies.record(LatencyKind.POLL, nowMs() - answer.sentAtMs)
        if (answer.jobStatus != JobAnswer.DONE) return
        history.completedAtMs(jobId)?.let { latencies.record(LatencyKind.FINISH_TO_DONE, nowMs() - it) }
    }

    private suspend fun cancel(jobId: String) {
        val firstSentAtMs = nowMs()
        history.cancellationRequested(jobId)
        while (!history.isFinal(jobId)) {
            val answer = request("POST", "/work/$jobId/cancel", null, REQUEST_TIMEOUT_MS)
            history.cancellationAnswered(jobId, answer.status, answer.jobStatus, answer.sentAtMs)
            if (answer.status == 200) latencies.record(LatencyKind.CANCEL, nowMs() - firstSentAtMs)
            if (!history.isFinal(jobId)) delay(RETRY_MS)
        }
    }

    private suspend fun request(
        method: String,
        target: String,
        body: ByteArray?,
        timeoutMs: Long,
    ): Answer {
        val sentAtMs = nowMs()
        val outcome = http.call(balancer.choose(), method, target, body, timeoutMs)
        val answer = outcome as? Outcome.Answer
        val status = answer?.status ?: 0
        messageCounters.seen(
            MessageObserver.Interface.USER,
            method,
            target,
            body?.size ?: 0,
            status,
            answer?.body?.size ?: 0,
        )
        return Answer(status, answer?.let { parseJobStatus(it.body) }, sentAtMs)
    }

    private fun parseJobStatus(body: ByteArray): String? =
        try {
            parseObject(body).textOrNull("status")
        } catch (e: MalformedMessage) {
            null
        }

    private companion object {
        const val SUBMIT_RETRY_LIMIT_MS = 60_000L
        const val REQUEST_TIMEOUT_MS = 5000L
        const val POLL_TIMEOUT_MS = 2000L
        const val RETRY_MS = 1000L
        const val CHECK_INTERVAL_MS = 150L
        const val COMPLETED_POLL_MS = 1000L

        /** At the end of the load, the cancellations of services are spread evenly over this time. */
        const val MAX_END_DELAY_MS = 20_000L
    }
}
