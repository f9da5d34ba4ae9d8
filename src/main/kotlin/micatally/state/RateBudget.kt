package micatally.state

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.Continuation
import kotlin.coroutines.resume

/** A token bucket whose waiters are served by urgency, then in order. Work lands unevenly on the controllers, so what is
 * urgent also tries the share that others may have left unused, [lent] a second, until the service says no. */
class RateBudget(
    private val scope: CoroutineScope,
    private val perSecond: Double,
    private val nowMs: () -> Long,
    private val lent: Double = 0.0,
) {
    private class Waiter(
        val n: Int,
        val c: Continuation<Unit>,
    ) {
        var gone = false
    }

    private val counts = IntArray(Urgency.entries.size)
    private val waits = LongArray(Urgency.entries.size)
    private val longest = LongArray(Urgency.entries.size)
    private var credit = lent
    private var noLoanUntil = Long.MIN_VALUE / 2

    private val queues = Urgency.entries.map { ArrayDeque<Waiter>() }
    private val burst = maxOf(1.0, perSecond)
    private var tokens = burst
    private var filledAt = nowMs()
    private var pumping = false

    /** How many wait; the measure of overload that admission looks at. */
    val waiting get() = queues.sumOf { it.size }

    /** Waits until [n] may be taken; true if they are borrowed. */
    suspend fun take(
        n: Int,
        urgency: Urgency,
        mayBorrow: Boolean = false,
    ): Boolean {
        if (n == 0) return false
        val began = nowMs()
        val borrowed = mayBorrow && borrow(n, urgency)
        if (!borrowed) await(n, urgency)
        val waited = nowMs() - began
        counts[urgency.ordinal]++
        waits[urgency.ordinal] += waited
        if (waited > longest[urgency.ordinal]) longest[urgency.ordinal] = waited
        return borrowed
    }

    private fun borrow(
        n: Int,
        urgency: Urgency,
    ): Boolean {
        refill()
        if (lent <= 0 || urgency > Urgency.INTENT || waiting == 0 && tokens >= n || credit < n ||
            filledAt < noLoanUntil
        ) {
            return false
        }
        credit -= n
        return true
    }

    /** The service refused what was borrowed: the others use their shares. */
    fun loanRefused() {
        credit = 0.0
        noLoanUntil = nowMs() + NO_LOAN_MS
    }

    /** For each urgency: how many, and how long they waited on average and at the most, since the last call. */
    fun tell(): String =
        Urgency.entries
            .filter { counts[it.ordinal] > 0 }
            .joinToString(",") { u ->
                val i = u.ordinal
                "${u.name.lowercase()}:${counts[i]}x/${waits[i] / counts[i]}ms/${longest[i]}ms"
            }.also {
                counts.fill(0)
                waits.fill(0)
                longest.fill(0)
            }

    private suspend fun await(
        n: Int,
        urgency: Urgency,
    ) {
        refill()
        if (waiting == 0 && tokens >= minOf(n.toDouble(), burst)) {
            tokens -= n
            return
        }
        suspendCancellableCoroutine { c ->
            val w = Waiter(n, c)
            queues[urgency.ordinal].addLast(w)
            c.invokeOnCancellation { w.gone = true }
            pump()
        }
    }

    /** After a 429 the service's own count is lower than ours. */
    fun drained() {
        refill()
        tokens = minOf(tokens, 0.0)
    }

    private fun refill() {
        val now = nowMs()
        tokens = minOf(burst, tokens + (now - filledAt) * perSecond / 1000.0)
        credit = minOf(lent, credit + (now - filledAt) * lent / 1000.0)
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
            } finally {
                pumping = false
            }
        }
    }

    private companion object {
        /** The service's limits allow one second's worth at once, so after that long they may have room again. */
        const val NO_LOAN_MS = 1000L
    }
}
