package micatally.worker

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred

/**
 * How urgent a command request is. When more requests wait than may be under way at once, the most urgent one goes
 * first. The constants are in order of decreasing urgency.
 */
enum class CommandUrgency {
    /** A task is to be stopped, for example because its job was cancelled. */
    STOP,

    /** A task is to be started. */
    START,

    /** Any other request, for example one that queries the machine's task list or clears an ended task. */
    QUERY,

    /** The machine gave no usable response to the last request. */
    RETRY,
}

/**
 * Limits how many command requests are under way at once, so that machines that do not respond leave enough sockets for
 * the state store, the cloud and the other controllers. Retries ([CommandUrgency.RETRY]) get at most half of the
 * [slots], so that an unresponsive zone does not delay the requests to the other zones. Used from the event loop only.
 *
 * @param slots how many requests may be under way at once
 */
class CommandGate(
    private val slots: Int,
) {
    private class Waiter(
        var urgency: CommandUrgency,
    ) {
        val granted = CompletableDeferred<Unit>()
    }

    /** By urgency and machine; machines of the same urgency are in the order in which they began to wait. */
    private val waiting = CommandUrgency.entries.associateWith { LinkedHashMap<String, Waiter>() }
    private val maxRetries = maxOf(1, slots / 2)
    private var usedCount = 0
    private var retryCount = 0

    /** The number of machines that wait for a slot. */
    val waitingCount get() = waiting.values.sumOf { it.size }

    /** Waits until a slot is free, then runs [action] in it. A machine may wait for only one slot at a time. */
    suspend fun <T> withSlot(
        machine: String,
        urgency: CommandUrgency,
        action: suspend () -> T,
    ): T {
        val waiter = Waiter(urgency)
        if (isFree(urgency)) take(waiter) else await(machine, waiter)
        try {
            return action()
        } finally {
            release(waiter)
        }
    }

    /**
     * Raises a waiting machine to this urgency, behind the machines that have it already. Does nothing if the machine
     * does not wait, has this urgency or a higher one, or waits for a retry.
     */
    fun promote(
        machine: String,
        urgency: CommandUrgency,
    ) {
        for (lower in CommandUrgency.entries) {
            if (lower <= urgency || lower == CommandUrgency.RETRY) continue
            val waiter = waiting.getValue(lower).remove(machine) ?: continue
            waiter.urgency = urgency
            waiting.getValue(urgency)[machine] = waiter
            return
        }
    }

    private suspend fun await(
        machine: String,
        waiter: Waiter,
    ) {
        waiting.getValue(waiter.urgency)[machine] = waiter
        try {
            waiter.granted.await()
        } catch (e: CancellationException) {
            // The slot may have been granted just before the cancellation.
            val isGranted = waiting.getValue(waiter.urgency).remove(machine) == null
            if (isGranted) release(waiter)
            throw e
        }
    }

    private fun isFree(urgency: CommandUrgency): Boolean {
        val mayRetry = urgency != CommandUrgency.RETRY || retryCount < maxRetries
        return usedCount < slots && mayRetry
    }

    private fun take(waiter: Waiter) {
        usedCount++
        if (waiter.urgency == CommandUrgency.RETRY) retryCount++
    }

    private fun release(waiter: Waiter) {
        usedCount--
        if (waiter.urgency == CommandUrgency.RETRY) retryCount--
        grantNext()
    }

    private fun grantNext() {
        val urgency = CommandUrgency.entries.firstOrNull { waiting.getValue(it).isNotEmpty() && isFree(it) } ?: return
        val waiters = waiting.getValue(urgency)
        val first = waiters.remove(waiters.keys.first()) ?: return
        take(first)
        first.granted.complete(Unit)
    }
}
