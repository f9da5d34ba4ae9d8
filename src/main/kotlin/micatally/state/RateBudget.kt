package micatally.state

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.suspendCancellableCoroutine
import micatally.supervision.launchSupervised
import kotlin.coroutines.Continuation
import kotlin.coroutines.resume

/**
 * A token bucket for this controller's share of a service's rate limit. Waiting calls are served by urgency, and in
 * order of arrival within the same urgency.
 *
 * The load of the controllers is uneven. Urgent requests may therefore also borrow tokens from the shares of the other
 * controllers, which may not use them, until the service refuses such a request.
 *
 * @param perSecond this controller's share, in tokens a second. The bucket holds the tokens of one second
 * @param borrowablePerSecond tokens a second that may be borrowed in addition
 */
class RateBudget(
    private val scope: CoroutineScope,
    private val perSecond: Double,
    private val nowMs: () -> Long,
    private val borrowablePerSecond: Double = 0.0,
) {
    private class Waiter(
        val count: Int,
        val continuation: Continuation<Unit>,
    ) {
        var isCancelled = false
    }

    private val statistics = WaitStatistics()
    private val queues = Urgency.entries.map { ArrayDeque<Waiter>() }
    private val burst = maxOf(1.0, perSecond)
    private var tokens = burst
    private var borrowableTokens = borrowablePerSecond
    private var refilledAtMs = nowMs()
    private var borrowingPausedUntilMs = Long.MIN_VALUE / 2
    private var isServing = false

    /** The number of calls that wait for tokens. For writes, admission uses it as the measure of overload. */
    val waiting get() = queues.sumOf { it.size }

    /** Takes [count] tokens from this controller's own share. Suspends until they are available. */
    suspend fun take(
        count: Int,
        urgency: Urgency,
    ) {
        if (count == 0) return
        val startedAtMs = nowMs()
        await(count, urgency)
        statistics.add(urgency, nowMs() - startedAtMs)
    }

    /**
     * Borrows [count] tokens if the request is urgent, would have to wait for the own share, and enough tokens may be
     * borrowed. Otherwise acts like [take]. Returns whether the tokens were borrowed.
     */
    suspend fun takeOrBorrow(
        count: Int,
        urgency: Urgency,
    ): Boolean {
        if (count == 0) return false
        if (!borrow(count, urgency)) {
            take(count, urgency)
            return false
        }
        statistics.add(urgency, 0)
        return true
    }

    /**
     * Stops borrowing for a while. To be called when the service has refused a request with borrowed tokens, which
     * means that the other controllers use their shares themselves.
     */
    fun pauseBorrowing() {
        borrowableTokens = 0.0
        borrowingPausedUntilMs = nowMs() + BORROWING_PAUSE_MS
    }

    /**
     * Empties the bucket. To be called when the service has refused a request over its rate limit, which means that it
     * has fewer tokens left than this bucket had counted.
     */
    fun markExhausted() {
        refill()
        tokens = minOf(tokens, 0.0)
    }

    /**
     * Returns a text for the log: how many calls took tokens since this function was last called, and how long they
     * waited. See [WaitStatistics.describeAndReset].
     */
    fun describeWaits(): String = statistics.describeAndReset()

    private fun borrow(
        count: Int,
        urgency: Urgency,
    ): Boolean {
        refill()
        val isUrgent = urgency <= Urgency.INTENT
        val isOwnShareFree = waiting == 0 && tokens >= count
        val isAvailable = borrowablePerSecond > 0 && borrowableTokens >= count && refilledAtMs >= borrowingPausedUntilMs
        if (!isUrgent || isOwnShareFree || !isAvailable) return false
        borrowableTokens -= count
        return true
    }

    private suspend fun await(
        count: Int,
        urgency: Urgency,
    ) {
        refill()
        if (waiting == 0 && tokens >= requiredTokens(count)) {
            tokens -= count
            return
        }
        suspendCancellableCoroutine { continuation ->
            val waiter = Waiter(count, continuation)
            queues[urgency.ordinal].addLast(waiter)
            continuation.invokeOnCancellation { waiter.isCancelled = true }
            serveWaiters()
        }
    }

    /**
     * How many tokens the bucket must have before [count] are taken. A call that takes more than the bucket can hold
     * waits until it is full. The number of tokens is negative afterwards.
     */
    private fun requiredTokens(count: Int): Double = minOf(count.toDouble(), burst)

    private fun refill() {
        val now = nowMs()
        val elapsedMs = now - refilledAtMs
        tokens = minOf(burst, tokens + elapsedMs * perSecond / MS_PER_SECOND)
        borrowableTokens =
            minOf(borrowablePerSecond, borrowableTokens + elapsedMs * borrowablePerSecond / MS_PER_SECOND)
        refilledAtMs = now
    }

    private fun serveWaiters() {
        if (isServing) return
        isServing = true
        scope.launchSupervised("rate budget") { serveAll() }.invokeOnCompletion { isServing = false }
    }

    private suspend fun serveAll() {
        while (true) {
            refill()
            val queue = mostUrgentQueue() ?: return
            serveFirst(queue)
        }
    }

    private fun mostUrgentQueue(): ArrayDeque<Waiter>? {
        for (queue in queues) {
            while (queue.firstOrNull()?.isCancelled == true) queue.removeFirst()
        }
        return queues.firstOrNull { it.isNotEmpty() }
    }

    /** Serves the first waiter of [queue], or waits until there may be enough tokens for it. */
    private suspend fun serveFirst(queue: ArrayDeque<Waiter>) {
        val waiter = queue.first()
        val missingTokens = requiredTokens(waiter.count) - tokens
        if (missingTokens > 0) {
            delay((missingTokens * MS_PER_SECOND / perSecond).toLong() + 1)
            return
        }
        queue.removeFirst()
        tokens -= waiter.count
        waiter.continuation.resume(Unit)
    }

    private companion object {
        const val MS_PER_SECOND = 1000.0

        /** A service's own bucket holds the tokens of one second, so it may have some again after this time, in ms. */
        const val BORROWING_PAUSE_MS = 1000L
    }
}
