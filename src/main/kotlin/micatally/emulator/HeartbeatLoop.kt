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

    /** Suspends while the machine is hung, then ends the lease if it has expired meanwhile. */
    suspend fun awaitUsable()

    /** The next heartbeat, with a sequence number of its own. */
    fun heartbeat(): JsonObject

    /** Takes the leader's [response] to a heartbeat that was sent at [sentAt] in incarnation [incarnationAtSend]. */
    fun accept(
        response: JsonObject,
        sentAt: Long,
        incarnationAtSend: Long,
    )
}

/**
 * Sends heartbeats to the leader for ever, and looks for it among the [controllers] (addresses by name) when the
 * controller that was asked is not the leader or does not answer.
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

    /** Whether the worker has changed since its last heartbeat: the next one then goes out early. */
    private var isChanged = false

    fun noteChange() {
        isChanged = true
    }

    /** Returns only by cancellation. */
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
        val sentAt = nowMs()
        val incarnationAtSend = sender.incarnation
        isChanged = false
        val address = controllers.getValue(controller)
        val outcome = http.call(address, "POST", "/v1/report", sender.heartbeat().bytes(), HEARTBEAT_TIMEOUT_MS)
        sender.awaitUsable()
        if (outcome is Outcome.Answer && outcome.status == OK) {
            sender.accept(parseObject(outcome.body), sentAt, incarnationAtSend)
        }
        return outcome
    }

    /** Waits about [intervalMs], with jitter, or until the worker has changed, but for a while in any case. */
    private suspend fun pause() {
        val nextAt = nowMs() + intervalMs * 3 / 4 + random.nextLong(intervalMs / 2 + 1)
        delay(minOf(LEAST_PAUSE_MS, intervalMs / 2))
        while (nowMs() < nextAt && !isChanged) delay(CHANGE_POLL_MS)
    }

    private fun leaderNamedIn(outcome: Outcome): String? {
        if (outcome !is Outcome.Answer || outcome.status != MISDIRECTED) return null
        return try {
            parseObject(outcome.body).textOrNull("marshal")
        } catch (_: MalformedMessage) {
            null
        }
    }

    /** Times and status codes of heartbeats. */
    companion object {
        /** A response is accepted this long after its heartbeat was sent at most. */
        const val HEARTBEAT_TIMEOUT_MS = 4000L
        private const val OK = 200
        private const val MISDIRECTED = 421
        private const val REDIRECT_PAUSE_MS = 100L
        private const val RETRY_PAUSE_MS = 1000L
        private const val LEAST_PAUSE_MS = 500L
        private const val CHANGE_POLL_MS = 50L
    }
}
