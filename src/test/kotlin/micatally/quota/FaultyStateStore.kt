package micatally.quota

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.emulator.StateStoreEmulator
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.Outcome
import micatally.state.RateBudget
import micatally.state.StateStoreClient
import kotlin.random.Random

/**
 * Which part of the requests to the state store goes wrong, and how.
 *
 * @property late there is no answer, and the request is executed long after its sender has given up
 * @property answerLost the request is executed at once, but its answer is lost
 * @property refused answered 503
 * @property limited answered 429
 */
class StateFaults(
    val late: Double = 0.0,
    val answerLost: Double = 0.0,
    val refused: Double = 0.0,
    val limited: Double = 0.0,
) {
    companion object {
        val NONE = StateFaults()
        val MANY = StateFaults(0.06, 0.06, 0.04, 0.08)
    }
}

/** The emulated state store, with delays and [faults] between it and the controllers. */
class FaultyStateStore(
    private val random: Random,
    private val scope: CoroutineScope,
    nowMs: () -> Long,
) {
    val service = StateStoreEmulator(nowMs = nowMs)
    var faults = StateFaults.NONE

    /** A client without faults or limits, for what is not under test. */
    val reliableClient =
        StateStoreClient(
            HttpCaller { _, method, target, body, _ ->
                val response = service.handle(HttpRequest(method, target, body ?: ByteArray(0)))
                Outcome.Answer(response.status, response.body)
            },
            "state",
            RateBudget(scope, 1e9, nowMs),
            RateBudget(scope, 1e9, nowMs),
            500,
        )

    /** A controller's request, which may go wrong. */
    suspend fun call(
        method: String,
        target: String,
        body: ByteArray?,
        timeoutMs: Long,
    ): Outcome {
        val request = HttpRequest(method, target, body ?: ByteArray(0))
        val draw = random.nextDouble()
        val lateBelow = faults.late
        val answerLostBelow = lateBelow + faults.answerLost
        val refusedBelow = answerLostBelow + faults.refused
        val limitedBelow = refusedBelow + faults.limited
        return when {
            draw < lateBelow ->
                unanswered(request, random.nextLong(timeoutMs, MAX_EXECUTION_DELAY_MS - timeoutMs), timeoutMs)
            draw < answerLostBelow -> unanswered(request, 1, timeoutMs)
            draw < refusedBelow -> Outcome.Answer(503, ByteArray(0))
            draw < limitedBelow -> Outcome.Answer(429, ByteArray(0))
            else -> answered(request)
        }
    }

    private suspend fun answered(request: HttpRequest): Outcome {
        delay(random.nextLong(1, 20))
        val response = service.handle(request)
        delay(random.nextLong(1, 20))
        return Outcome.Answer(response.status, response.body)
    }

    private suspend fun unanswered(
        request: HttpRequest,
        afterMs: Long,
        timeoutMs: Long,
    ): Outcome {
        scope.launch {
            delay(afterMs)
            service.handle(request)
        }
        delay(timeoutMs)
        return Outcome.NoResponse
    }

    companion object {
        /** A transaction without an answer is executed within this time, or never. */
        const val MAX_EXECUTION_DELAY_MS = 6000L
    }
}
