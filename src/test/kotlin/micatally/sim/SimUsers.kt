package micatally.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.RuleChecker
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.wire.JobSpec
import micatally.wire.bytes
import micatally.wire.parseObject
import micatally.wire.textOrNull
import kotlin.random.Random

/** Users of the simulated fleet: each answer that one of them gets is checked by [rules]. */
class SimUsers(
    private val time: SimTime,
    private val random: Random,
    private val rules: RuleChecker,
    private val caller: HttpCaller,
    private val nodes: Int,
    private val isUp: (Int) -> Boolean,
) {
    /** Asks a random node that is up; status 0 if there is none or no answer comes. */
    private suspend fun ask(
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

    /** The HTTP status and the job's status word that this node answers; status 0 if no answer comes in time. */
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

    /** The body that a node answers at its address for controllers; null unless it answers 200. */
    suspend fun askPeerPort(
        node: Int,
        path: String,
        body: ByteArray,
    ): ByteArray? {
        val outcome = caller.call("n$node:81", "POST", path, body, 20_000)
        return (outcome as? Outcome.Answer)?.takeIf { it.status == 200 }?.body
    }

    /**
     * A user who submits a job, polls it to the end of the simulation and cancels it after [cancelAfterMs].
     * One request at a time, so that answers count in the order in which this user gets them. A [nosy] user also
     * polls all nodes whenever something was confirmed.
     */
    fun launchUser(
        spec: JobSpec,
        cancelAfterMs: Long?,
        nosy: Boolean = false,
    ) = time.scope.launch {
        rules.submitted(spec)
        submitUntilDecided(spec, nosy)
        val cancelAt = cancelAfterMs?.let { time.now + it }
        while (true) {
            val pauseMs =
                if (nosy && !rules.isFinal(spec.jobId)) 300 + random.nextLong(1500) else 1000 + random.nextLong(4000)
            delay(pauseMs)
            if (cancelAt != null && time.now >= cancelAt && !rules.isFinal(spec.jobId)) {
                cancel(spec, nosy)
            } else {
                poll(spec, nosy)
                repeatSubmission(spec)
                pollUnknownJob()
            }
        }
    }

    private suspend fun submitUntilDecided(
        spec: JobSpec,
        nosy: Boolean,
    ) {
        while (true) {
            val (status, _) = ask("POST", "/work", spec.source.bytes(), 5000)
            time.note("submit ${spec.jobId} $status")
            rules.answeredSubmit(spec.jobId, status)
            if (nosy && status in 200..201) pollAllNodes(spec)
            if (status in 200..499 && status != 429) return
            delay(1000 + random.nextLong(500))
        }
    }

    private suspend fun cancel(
        spec: JobSpec,
        nosy: Boolean,
    ) {
        rules.asksToCancel(spec.jobId)
        val (status, word) = ask("POST", "/work/${spec.jobId}/cancel", null, 5000)
        time.note("cancel ${spec.jobId} $status $word")
        if (status == 200) rules.told(spec.jobId, word, time.now)
        if (nosy && status == 200) pollAllNodes(spec)
    }

    private suspend fun poll(
        spec: JobSpec,
        nosy: Boolean,
    ) {
        val (status, word) = ask("GET", "/work/${spec.jobId}", null, 2000)
        val wasOpen = !rules.isFinal(spec.jobId)
        if (wasOpen || status != 200) time.note("poll ${spec.jobId} $status $word")
        rules.answeredPoll(spec.jobId, status, word, time.now)
        if (nosy && wasOpen && rules.isFinal(spec.jobId)) pollAllNodes(spec)
    }

    private suspend fun repeatSubmission(spec: JobSpec) {
        if (random.nextInt(20) != 0) return
        rules.answeredSubmit(spec.jobId, ask("POST", "/work", spec.source.bytes(), 5000).first)
    }

    private suspend fun pollUnknownJob() {
        if (random.nextInt(20) != 0) return
        rules.answeredPoll(UNKNOWN_JOB, ask("GET", "/work/$UNKNOWN_JOB", null, 2000).first, "running", time.now)
    }

    /** Asks all nodes within milliseconds, several times over, and repeats the submission there. */
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
        if (status != 200) time.note("look ${spec.jobId} at n$node $status $word")
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
        if (status !in 200..201) time.note("repeat ${spec.jobId} at n$node $status $word")
        rules.answeredSubmit(spec.jobId, status, word, time.now, sentAt)
    }

    private companion object {
        /** A job that nobody submits. */
        const val UNKNOWN_JOB = "j-99999"
    }
}
