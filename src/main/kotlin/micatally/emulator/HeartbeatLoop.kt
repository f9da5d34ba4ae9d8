package micatally.emulator

import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.wire.MalformedMessage
import micatally.wire.bytes
import micatally.wire.parseObject
import micatally.wire.textOrNull
import kotlin.random.Random

/** What the heartbeat loop needs of its worker. */
internal interface HeartbeatSender {
    val incarnation: Long

    /** Suspends while the machine is hung. Then, if the lease has expired meanwhile, the worker drops its tasks. */
    suspend fun awaitUsable()

    /** Builds the next heartbeat; each has a sequence number of its own. */
    fun heartbeat(): JsonObject

    /**
     * Processes the leader's [response] to a heartbeat. The heartbeat was sent at [sentAtMs], in the worker's
     * incarnation [incarnationAtSend].
     */
    fun accept(
        response: JsonObject,
        sentAtMs: Long,
        incarnationAtSend: Long,
    )
}

/**
 * Sends heartbeats to the leader until it is cancelled. If the controller it called does not answer or is not the
 * leader, the loop goes to the leader named in the answer, or else to the next one of [controllers].
 *
 * @property controllers addresses by host name
 * @property intervalMs average time between two heartbeats, in ms
 */
internal class HeartbeatLoop(
    private val sender: HeartbeatSender,
    private val http: HttpCaller,
    private val controllers: Map<String, String>,
    private val random: Random,
    private val intervalMs: Long,
    private val nowMs: () -> Long,
) {
    private val controllerNames = controllers.keys.sorted()

    /** Whether the worker has changed since its last heartbeat. If so, the next heartbeat is sent early. */
    private var isChanged = false

    /** Tells the loop that the next heartbeat has something new to report. */
    fun noteChange() {
        isChanged = true
    }

    /** Runs the loop; it ends only by cancellation. */
    suspend fun run() {
        var index = random.nextInt(controllerNames.size)
        delay(random.nextLong(maxOf(1L, intervalMs)))
        while (true) {
            val outcome = exchange(controllerNames[index])
            if (outcome is Outcome.Answer && outcome.status == OK) {
                pause()
                continue
            }
            val leader = leaderNamedIn(outcome)
            if (leader != null && leader in controllers && controllerNames[index] != leader) {
                index = controllerNames.indexOf(leader)
                delay(REDIRECT_PAUSE_MS)
            } else {
                index = (index + 1) % controllerNames.size
                delay(RETRY_PAUSE_MS)
            }
        }
    }

    private suspend fun exchange(controller: String): Outcome {
        sender.awaitUsable()
        val sentAtMs = nowMs()
        val incarnationAtSend = sender.incarnation
        isChanged = false
        val address = controllers.getValue(controller)
        val outcome = http.call(address, "POST", "/v1/report", sender.heartbeat().bytes(), HEARTBEAT_TIMEOUT_MS)
        sender.awaitUsable()
        if (outcome is Outcome.Answer && outcome.status == OK) {
            sender.accept(parseObject(outcome.body), sentAtMs, incarnationAtSend)
        }
        return outcome
    }

    /**
     * Waits for [intervalMs] with a jitter of a quarter up or down, or until the worker has changed. In any case it
     * waits for [MIN_PAUSE_MS], or for half of [intervalMs] if that is shorter.
     */
    private suspend fun pause() {
        val nextAtMs = nowMs() + intervalMs * 3 / 4 + random.nextLong(intervalMs / 2 + 1)
        delay(minOf(MIN_PAUSE_MS, intervalMs / 2))
        while (nowMs() < nextAtMs && !isChanged) delay(CHANGE_POLL_MS)
    }

    private fun leaderNamedIn(outcome: Outcome): String? {
        if (outcome !is Outcome.Answer || outcome.status != MISDIRECTED) return null
        return try {
            parseObject(outcome.body).textOrNull("marshal")
        } catch (_: MalformedMessage) {
            null
        }
    }

    /** Times of heartbeats, and the status codes of their responses. */
    companion object {
        /** Time limit of a heartbeat in ms: a response that comes later than this after the send is ignored. */
        const val HEARTBEAT_TIMEOUT_MS = 4000L
        private const val OK = 200
        private const val MISDIRECTED = 421
        private const val REDIRECT_PAUSE_MS = 100L
        private const val RETRY_PAUSE_MS = 1000L
        private const val MIN_PAUSE_MS = 500L
        private const val CHANGE_POLL_MS = 50L
    }
}
