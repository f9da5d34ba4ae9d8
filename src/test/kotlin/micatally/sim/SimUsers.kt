package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.HostileSubmission
import micatally.emulator.RuleChecker
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.wire.JobSpec
import micatally.wire.bytes
import micatally.wire.parseObject
import micatally.wire.textOrNull
import kotlin.random.Random

/** The users of the simulated fleet. [rules] checks each answer that a user gets. */
class SimUsers(
    private val time: SimTime,
    private val random: Random,
    private val rules: RuleChecker,
    private val caller: HttpCaller,
    private val nodes: Int,
    private val isUp: (Int) -> Boolean,
) {
    /** Share of the submissions that have a deeply nested value in an unknown field. */
    var hostileShare = 0.0

    private val hostileRandom = Random(1)

    private fun submission(spec: JobSpec): ByteArray {
        val isHostile = hostileShare > 0 && hostileRandom.nextDouble() < hostileShare
        return if (isHostile) HostileSubmission.withDeepField(spec.source) else spec.source.bytes()
    }

    /** Sends a request to a random running node. The status is 0 if there is none, or if no answer comes in time. */
    private suspend fun askRandomNode(
        method: String,
        target: String,
        body: ByteArray?,
        timeoutMs: Long,
    ): Pair<Int, String?> {
        val up = (0 until nodes).filter(isUp)
        if (up.isEmpty()) {
            delay(500)
            return 0 to null
        }
        return askNode(up.random(random), method, target, body, timeoutMs)
    }

    /**
     * Returns the HTTP status and the job's status that this node answers. The HTTP status is 0 if no answer comes in
     * time.
     */
    suspend fun askNode(
        node: Int,
        method: String,
        target: String,
        body: ByteArray? = null,
        timeoutMs: Long = 5000,
    ): Pair<Int, String?> {
        val outcome = caller.call("n$node:80", method, target, body, timeoutMs)
        if (outcome !is Outcome.Answer) return 0 to null
        return outcome.status to runCatching { parseObject(outcome.body).textOrNull("status") }.getOrNull()
    }

    /** Returns the body that a node answers at its address for peers; null unless it answers 200. */
    suspend fun askPeerPort(
        node: Int,
        path: String,
        body: ByteArray,
    ): ByteArray? {
        val outcome = caller.call("n$node:81", "POST", path, body, 20_000)
        return (outcome as? Outcome.Answer)?.takeIf { it.status == 200 }?.body
    }

    /**
     * Launches a user who submits a job, polls it until the end of the simulation, and cancels it [cancelAfterMs]
     * milliseconds after the submission was decided, unless that is null. The user sends one request at a time, so the
     * rules can be checked in the order of the answers. With [pollAll] the user polls more often, and polls
     * all nodes whenever one has confirmed something.
     */
    fun launchUser(
        spec: JobSpec,
        cancelAfterMs: Long?,
        pollAll: Boolean = false,
    ) = time.scope.launch {
        rules.submitted(spec)
        submitUntilDecided(spec, pollAll)
        val cancelAt = cancelAfterMs?.let { time.now + it }
        while (true) {
            val pauseMs =
                if (pollAll && !rules.isFinal(spec.jobId)) 300 + random.nextLong(1500) else 1000 + random.nextLong(4000)
            delay(pauseMs)
            if (cancelAt != null && time.now >= cancelAt && !rules.isFinal(spec.jobId)) {
                cancel(spec, pollAll)
            } else {
                poll(spec, pollAll)
                repeatSubmission(spec)
                pollUnknownJob()
            }
        }
    }

    private suspend fun submitUntilDecided(
        spec: JobSpec,
        pollAll: Boolean,
    ) {
        while (true) {
            val (status, _) = askRandomNode("POST", "/work", submission(spec), 5000)
            time.note("submit ${spec.jobId} $status")
            rules.answeredSubmit(spec.jobId, status)
            if (pollAll && status in 200..201) pollAllNodes(spec)
            if (status in 200..499 && status != 429) return
            delay(1000 + random.nextLong(500))
        }
    }

    private suspend fun cancel(
        spec: JobSpec,
        pollAll: Boolean,
    ) {
        rules.asksToCancel(spec.jobId)
        val (status, word) = askRandomNode("POST", "/work/${spec.jobId}/cancel", null, 5000)
        time.note("cancel ${spec.jobId} $status $word")
        if (status == 200) rules.told(spec.jobId, word, time.now)
        if (pollAll && status == 200) pollAllNodes(spec)
    }

    private suspend fun poll(
        spec: JobSpec,
        pollAll: Boolean,
    ) {
        val (status, word) = askRandomNode("GET", "/work/${spec.jobId}", null, 2000)
        val wasOpen = !rules.isFinal(spec.jobId)
        if (wasOpen || status != 200) time.note("poll ${spec.jobId} $status $word")
        rules.answeredPoll(spec.jobId, status, word, time.now)
        if (pollAll && wasOpen && rules.isFinal(spec.jobId)) pollAllNodes(spec)
    }

    private suspend fun repeatSubmission(spec: JobSpec) {
        if (random.nextInt(20) != 0) return
        rules.answeredSubmit(spec.jobId, askRandomNode("POST", "/work", submission(spec), 5000).first)
    }

    private suspend fun pollUnknownJob() {
        if (random.nextInt(20) != 0) return
        rules.answeredPoll(
            UNKNOWN_JOB,
            askRandomNode("GET", "/work/$UNKNOWN_JOB", null, 2000).first,
            "running",
            time.now,
        )
    }

    /** Polls each running node five times within 800 ms, and repeats the submission there twice. */
    fun pollAllNodes(spec: JobSpec) {
        for (node in (0 until nodes).filter(isUp)) {
            for (delayMs in listOf(0L, 3L, 20L, 150L, 800L)) {
                launchPoll(node, spec, delayMs)
                if (delayMs == 3L || delayMs == 150L) launchRepeat(node, spec, delayMs)
            }
        }
    }

    private fun launchPoll(
        node: Int,
        spec: JobSpec,
        delayMs: Long,
    ) = time.scope.launch {
        delay(delayMs)
        val sentAt = time.now
        val (status, word) = askNode(node, "GET", "/work/${spec.jobId}", null, 2000)
        if (status != 200) time.note("poll ${spec.jobId} at n$node $status $word")
        rules.answeredPoll(spec.jobId, status, word, time.now, sentAt)
    }

    private fun launchRepeat(
        node: Int,
        spec: JobSpec,
        delayMs: Long,
    ) = time.scope.launch {
        delay(delayMs)
        val sentAt = time.now
        val (status, word) = askNode(node, "POST", "/work", spec.source.bytes())
        if (status !in 200..201) time.note("repeated submit ${spec.jobId} at n$node $status $word")
        rules.answeredSubmit(spec.jobId, status, word, time.now, sentAt)
    }

    private companion object {
        /** The id of a job that nobody submits. */
        const val UNKNOWN_JOB = "j-99999"
    }
}
