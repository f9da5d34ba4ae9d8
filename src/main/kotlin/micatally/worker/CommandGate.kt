package micatally.worker

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred

/** Which machine goes first when more are to be sent commands than may be at once; in this order. */
enum class CommandUrgency {
    /** A task is to be stopped, for example because its job was cancelled. */
    STOP,

    /** A task is to be started. */
    START,

    /** The machine is only asked for its status, or an ended task is cleared. */
    ASK,

    /** The machine did not respond to the last request. */
    REPEAT,
}

/**
 * Bounds how many command requests are under way at once, so that machines that don't respond take no sockets from the
 * state store, the cloud and the other controllers. Machines that have not responded lately ([CommandUrgency.REPEAT]) get
 * half of the [slots] at the most: a zone that hangs does not hold up the others. Used from the event loop only.
 */
class CommandGate(
    private val slots: Int,
) {
    private class Waiter(
        var urgency: CommandUrgency,
    ) {
        val granted = CompletableDeferred<Unit>()
    }

    /** By urgency and machine, in the order in which they came. */
    private val waiting = CommandUrgency.entries.associateWith { LinkedHashMap<String, Waiter>() }
    private val maxRepeating = maxOf(1, slots / 2)
    private var usedCount = 0
    private var repeatingCount = 0

    /** Machines that wait for a slot. */
    val waitingCount get() = waiting.values.sumOf { it.size }

    /** Suspends until a slot is free for the machine, then runs [action]; each machine may wait once at a time. */
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

    /** If the machine waits with a lower urgency it gets this one, behind those that have it already. */
    fun promote(
        machine: String,
        urgency: CommandUrgency,
    ) {
        for (lower in CommandUrgency.entries) {
            if (lower <= urgency || lower == CommandUrgency.REPEAT) continue
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
        val mayRepeat = urgency != CommandUrgency.REPEAT || repeatingCount < maxRepeating
        return usedCount < slots && mayRepeat
    }

    private fun take(waiter: Waiter) {
        usedCount++
        if (waiter.urgency == CommandUrgency.REPEAT) repeatingCount++
    }

    private fun release(waiter: Waiter) {
        usedCount--
        if (waiter.urgency == CommandUrgency.REPEAT) repeatingCount--
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
