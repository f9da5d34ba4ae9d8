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
 * The shares of the requests to the state store, from 0 to 1, that fail in each way.
 *
 * @property late there is no answer, and the request is executed long after its sender has stopped waiting
 * @property answerLost the request is executed at once, but its answer is lost
 * @property refused the answer is 503, and the request is not executed
 * @property limited the answer is 429, and the request is not executed
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

/** The emulated state store. Requests of controllers are delayed and fail as [faults] says. */
class FaultyStateStore(
    private val random: Random,
    private val scope: CoroutineScope,
    nowMs: () -> Long,
) {
    val emulator = StateStoreEmulator(nowMs = nowMs)
    var faults = StateFaults.NONE

    /** A client without faults, delays or rate limits, for requests that are not under test. */
    val reliableClient =
        StateStoreClient(
            HttpCaller { _, method, target, body, _ ->
                val response = emulator.handle(HttpRequest(method, target, body ?: ByteArray(0)))
                Outcome.Answer(response.status, response.body)
            },
            "state",
            RateBudget(scope, 1e9, nowMs),
            RateBudget(scope, 1e9, nowMs),
            500,
        )

    /** Handles a controller's request, which may fail. */
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
        val response = emulator.handle(request)
        delay(random.nextLong(1, 20))
        return Outcome.Answer(response.status, response.body)
    }

    /** Executes the request after [afterMs], and gives no answer within the sender's [timeoutMs]. */
    private suspend fun unanswered(
        request: HttpRequest,
        afterMs: Long,
        timeoutMs: Long,
    ): Outcome {
        scope.launch {
            delay(afterMs)
            emulator.handle(request)
        }
        delay(timeoutMs)
        return Outcome.NoResponse
    }

    companion object {
        /** A request without an answer is executed within this time. */
        const val MAX_EXECUTION_DELAY_MS = 6000L
    }
}
