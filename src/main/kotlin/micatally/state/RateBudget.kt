package micatally.state

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.Continuation
import kotlin.coroutines.resume

/**
 * A token bucket for this controller's share of a service's rate limit. Those who wait are served by urgency, then in order.
 *
 * Load is uneven among the controllers. Urgent work may therefore also borrow from what the others leave of their shares, until
 * the service refuses it.
 *
 * @param perSecond this controller's share; one second's worth may be taken at once
 * @param borrowablePerSecond what may be borrowed beyond that
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
    private var refilledAt = nowMs()
    private var noBorrowingUntil = Long.MIN_VALUE / 2
    private var isServing = false

    /** How many wait; admission takes it as the measure of overload. */
    val waiting get() = queues.sumOf { it.size }

    /** Suspends until [count] may be taken from this controller's own share. */
    suspend fun take(
        count: Int,
        urgency: Urgency,
    ) {
        if (count == 0) return
        val startedAt = nowMs()
        await(count, urgency)
        statistics.add(urgency, nowMs() - startedAt)
    }

    /** Borrows [count] if that is possible and would save a wait, or else acts as [take]. Returns whether they are borrowed. */
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

    /** To be called when the service refused what was borrowed: the other controllers use their shares. */
    fun borrowingRefused() {
        borrowableTokens = 0.0
        noBorrowingUntil = nowMs() + NO_BORROWING_MS
    }

    /** To be called when the service refused what was taken: by its count less is left than by this one's. */
    fun markExhausted() {
        refill()
        tokens = minOf(tokens, 0.0)
    }

    /** For the log: how many took something since the last call, and how long they waited. See [WaitStatistics]. */
    fun describeWaits(): String = statistics.describeAndReset()

    private fun borrow(
        count: Int,
        urgency: Urgency,
    ): Boolean {
        refill()
        val isUrgent = urgency <= Urgency.INTENT
        val isOwnShareFree = waiting == 0 && tokens >= count
        val isAvailable = borrowablePerSecond > 0 && borrowableTokens >= count && refilledAt >= noBorrowingUntil
        if (!isUrgent || isOwnShareFree || !isAvailable) return false
        borrowableTokens -= count
        return true
    }

    private suspend fun await(
        count: Int,
        urgency: Urgency,
    ) {
        refill()
        if (waiting == 0 && tokens >= needed(count)) {
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

    /** More than the bucket holds is given when it is full, and the tokens are negative for a while. */
    private fun needed(count: Int): Double = minOf(count.toDouble(), burst)

    private fun refill() {
        val now = nowMs()
        val elapsedMs = now - refilledAt
        tokens = minOf(burst, tokens + elapsedMs * perSecond / MS_PER_SECOND)
        borrowableTokens =
            minOf(borrowablePerSecond, borrowableTokens + elapsedMs * borrowablePerSecond / MS_PER_SECOND)
        refilledAt = now
    }

    private fun serveWaiters() {
        if (isServing) return
        isServing = true
        scope.launch {
            try {
                while (true) {
                    refill()
                    val queue = mostUrgentQueue() ?: break
                    serveFirst(queue)
                }
            } finally {
                isServing = false
            }
        }
    }

    private fun mostUrgentQueue(): ArrayDeque<Waiter>? {
        for (queue in queues) {
            while (queue.firstOrNull()?.isCancelled == true) queue.removeFirst()
        }
        return queues.firstOrNull { it.isNotEmpty() }
    }

    /** Serves the queue's first waiter, or pauses until there may be enough for it. */
    private suspend fun serveFirst(queue: ArrayDeque<Waiter>) {
        val waiter = queue.first()
        val missing = needed(waiter.count) - tokens
        if (missing > 0) {
            delay((missing * MS_PER_SECOND / perSecond).toLong() + 1)
            return
        }
        queue.removeFirst()
        tokens -= waiter.count
        waiter.continuation.resume(Unit)
    }

    private companion object {
        const val MS_PER_SECOND = 1000.0

        /** A service allows one second's worth at once, so after that long it may have room again. */
        const val NO_BORROWING_MS = 1000L
    }
}
