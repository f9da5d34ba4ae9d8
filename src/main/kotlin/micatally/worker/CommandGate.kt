package micatally.worker

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred

/** Who goes first when more machines are to be sent orders than may be at once: cancellations before all. */
enum class CommandUrgency { STOP, START, ASK, REPEAT }

/**
 * Bounds how many requests with orders are under way at once, so that machines that don't answer take no sockets from the
 * state service, the cloud and the other controllers. Machines that have not answered lately ([CommandUrgency.REPEAT]) get
 * half of the [slots] at the most: a zone that hangs does not hold up the others. Used from the event loop only.
 */
class CommandGate(
    private val slots: Int,
) {
    private class Turn(
        var urgency: CommandUrgency,
    ) {
        val granted = CompletableDeferred<Unit>()
    }

    private val waiting = CommandUrgency.entries.associateWith { LinkedHashMap<String, Turn>() }
    private val repeatSlots = maxOf(1, slots / 2)
    private var used = 0
    private var repeating = 0

    /** Machines that wait for a slot. */
    val waitingCount get() = waiting.values.sumOf { it.size }

    /** Runs [action] once a slot is free for the machine; each machine may wait once at a time. */
    suspend fun <T> withSlot(
        machine: String,
        urgency: CommandUrgency,
        action: suspend () -> T,
    ): T {
        val turn = Turn(urgency)
        if (isFree(urgency)) take(turn) else await(machine, turn)
        try {
            return action()
        } finally {
            release(turn)
        }
    }

    /** A machine that waits has become more urgent. */
    fun promote(
        machine: String,
        urgency: CommandUrgency,
    ) {
        for (later in CommandUrgency.entries) {
            if (later <= urgency || later == CommandUrgency.REPEAT) continue
            val turn = waiting.getValue(later).remove(machine) ?: continue
            turn.urgency = urgency
            waiting.getValue(urgency)[machine] = turn
            return
        }
    }

    private suspend fun await(
        machine: String,
        turn: Turn,
    ) {
        waiting.getValue(turn.urgency)[machine] = turn
        try {
            turn.granted.await()
        } catch (e: CancellationException) {
            if (waiting.getValue(turn.urgency).remove(machine) == null) release(turn)
            throw e
        }
    }

    private fun isFree(urgency: CommandUrgency) =
        used < slots && (urgency != CommandUrgency.REPEAT || repeating < repeatSlots)

    private fun take(turn: Turn) {
        used++
        if (turn.urgency == CommandUrgency.REPEAT) repeating++
    }

    private fun release(turn: Turn) {
        used--
        if (turn.urgency == CommandUrgency.REPEAT) repeating--
        val next = CommandUrgency.entries.firstOrNull { waiting.getValue(it).isNotEmpty() && isFree(it) } ?: return
        val turns = waiting.getValue(next)
        val first = turns.remove(turns.keys.first()) ?: return
        take(first)
        first.granted.complete(Unit)
    }
}
