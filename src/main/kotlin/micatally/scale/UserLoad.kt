package micatally.scale

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.MessageObserver
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.wire.JobAnswer
import micatally.wire.MalformedMessage
import micatally.wire.bytes
import micatally.wire.parseObject
import micatally.wire.textOrNull
import kotlin.random.Random

/** Users who submit the planned jobs, ask for them and cancel some. All run on the loop of [scope]. */
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
    /** Set when the load is over: nothing new is submitted, and services are cancelled. */
    @Volatile
    var isEnding = false

    private class Answer(
        val status: Int,
        val word: String?,
        val sentAtMs: Long,
    )

    fun start(jobs: List<PlannedJob>) {
        val beganMs = nowMs()
        for (job in jobs) {
            scope.launch {
                delay(beganMs + job.atMs - nowMs())
                if (!isEnding) serve(job)
            }
        }
    }

    private suspend fun serve(job: PlannedJob) {
        val submittedAtMs = nowMs()
        history.submitted(job.spec)
        if (submit(job)) follow(job, submittedAtMs)
    }

    /** Whether the job was accepted; repeated for a minute, as the protocol says. */
    private suspend fun submit(job: PlannedJob): Boolean {
        val jobId = job.spec.jobId
        val firstMs = nowMs()
        while (nowMs() - firstMs < SUBMIT_MS) {
            val answer = ask("POST", "/work", job.spec.source.bytes(), SUBMIT_TIMEOUT_MS)
            history.answeredSubmission(jobId, answer.status, answer.word, answer.sentAtMs)
            if (answer.status == 200 || answer.status == 201) {
                latencies.record(LatencyKind.SUBMISSION, nowMs() - firstMs)
                return true
            }
            if (answer.status == 400 || answer.status == 422) return false
            delay(RETRY_MS + random.nextLong(RETRY_MS))
        }
        return false
    }

    private suspend fun follow(
        job: PlannedJob,
        submittedAtMs: Long,
    ) {
        val jobId = job.spec.jobId
        val pollMs = (plan.pollSeconds * 1000).toLong()
        var nextPollMs = nowMs() + random.nextLong(pollMs)
        var isCompletionSeen = false
        val spreadMs = random.nextLong(END_SPREAD_MS)
        var endingSinceMs: Long? = null
        while (!history.isFinal(jobId)) {
            delay(STEP_MS + random.nextLong(STEP_MS))
            if (isEnding && endingSinceMs == null) endingSinceMs = nowMs()
            val isDueByPlan = job.cancelAfterMs?.let { nowMs() - submittedAtMs >= it } ?: false
            val isDueByEnd = job.spec.isService && endingSinceMs != null && nowMs() - endingSinceMs >= spreadMs
            when {
                isDueByPlan || isDueByEnd -> cancel(jobId)
                // Asked at once, so that the time to `done` is seen, then once a second: more would be a load of its own.
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
        val answer = ask("GET", "/work/$jobId", null, POLL_TIMEOUT_MS)
        history.answeredPoll(jobId, answer.status, answer.word, answer.sentAtMs)
        if (answer.status == 200) latencies.record(LatencyKind.POLL, nowMs() - answer.sentAtMs)
        if (answer.word != JobAnswer.DONE) return
        history.completedAtMs(jobId)?.let { latencies.record(LatencyKind.FINISH_TO_DONE, nowMs() - it) }
    }

    private suspend fun cancel(jobId: String) {
        val firstMs = nowMs()
        history.asksToCancel(jobId)
        while (!history.isFinal(jobId)) {
            val answer = ask("POST", "/work/$jobId/cancel", null, SUBMIT_TIMEOUT_MS)
            history.answeredCancel(jobId, answer.status, answer.word, answer.sentAtMs)
            if (answer.status == 200) latencies.record(LatencyKind.CANCEL, nowMs() - firstMs)
            if (!history.isFinal(jobId)) delay(RETRY_MS)
        }
    }

    private suspend fun ask(
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
        return Answer(status, answer?.let { statusWord(it.body) }, sentAtMs)
    }

    private fun statusWord(body: ByteArray): String? =
        try {
            parseObject(body).textOrNull("status")
        } catch (e: MalformedMessage) {
            null
        }

    private companion object {
        const val SUBMIT_MS = 60_000L
        const val SUBMIT_TIMEOUT_MS = 5000L
        const val POLL_TIMEOUT_MS = 2000L
        const val RETRY_MS = 1000L
        const val STEP_MS = 150L
        const val COMPLETED_POLL_MS = 1000L

        /** Over so long the services are cancelled at the end. */
        const val END_SPREAD_MS = 20_000L
    }
}
