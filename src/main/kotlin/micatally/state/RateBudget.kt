package micatally.state

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume
import kotlin.coroutines.Continuation

/** What a call to the state service is for, most urgent first. */
enum class Urgency { LEASE, ACCEPTANCE, INTENT, SUMMARY }

/** A token bucket whose waiters are served by urgency, then in order. */
class RateBudget(private val scope: CoroutineScope, private val perSecond: Double, private val nowMs: () -> Long) {
    private class Waiter(val n: Int, val c: Continuation<Unit>) { var gone = false }

    private val queues = Urgency.entries.map { ArrayDeque<Waiter>() }
    private val burst = maxOf(1.0, perSecond)
    private var tokens = burst
    private var filledAt = nowMs()
    private var pumping = false

    /** How many wait; the measure of overload that admission looks at. */
    val waiting get() = queues.sumOf { it.size }

    suspend fun take(n: Int, urgency: Urgency) {
        if (n == 0) return
        refill()
        if (waiting == 0 && tokens >= minOf(n.toDouble(), burst)) { tokens -= n; return }
        suspendCancellableCoroutine { c ->
            val w = Waiter(n, c)
            queues[urgency.ordinal].addLast(w)
            c.invokeOnCancellation { w.gone = true }
            pump()
        }
    }

    /** After a 429 the service's own count is lower than ours. */
    fun drained() { refill(); tokens = minOf(tokens, 0.0) }

    private fun refill() {
        val now = nowMs()
        tokens = minOf(burst, tokens + (now - filledAt) * perSecond / 1000.0)
        filledAt = now
    }

    private fun pump() {
        if (pumping) return
        pumping = true
        scope.launch {
            try {
                while (true) {
                    refill()
                    for (q in queues) while (q.firstOrNull()?.gone == true) q.removeFirst()
                    val q = queues.firstOrNull { it.isNotEmpty() } ?: break
                    val w = q.first()
                    val need = minOf(w.n.toDouble(), burst)
                    if (tokens >= need) {
                        q.removeFirst()
                        tokens -= w.n
                        w.c.resume(Unit)
                    } else {
                        delay(((need - tokens) * 1000.0 / perSecond).toLong() + 1)
                    }
                }
            } finally { pumping = false }
        }
    }
}
