package micatally.worker

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

@OptIn(ExperimentalCoroutinesApi::class)
class CommandGateTest {
    private val underWay = LinkedHashMap<String, CompletableDeferred<Unit>>()

    private fun TestScope.ask(
        gate: CommandGate,
        urgency: CommandUrgency,
        vararg machines: String,
    ) = machines.map { machine ->
        val request =
            launch {
                gate.withSlot(machine, urgency) {
                    val answer = CompletableDeferred<Unit>()
                    underWay[machine] = answer
                    answer.await()
                }
            }
        runCurrent()
        request
    }

    private fun TestScope.answer(machine: String) {
        underWay.remove(machine)!!.complete(Unit)
        runCurrent()
    }

    /** Guard: the slots; without them an outage of many machines takes every socket of the controller. */
    @Test
    fun `no more requests are under way than there are slots, and cancellations go first`() =
        runTest {
            val gate = CommandGate(2)
            ask(gate, CommandUrgency.ASK, "m-1", "m-2", "m-3")
            ask(gate, CommandUrgency.START, "m-4")
            ask(gate, CommandUrgency.STOP, "m-5")
            assertEquals(setOf("m-1", "m-2"), underWay.keys)
            for (machine in listOf("m-1", "m-2", "m-5")) answer(machine)
            assertEquals(setOf("m-4", "m-3"), underWay.keys)
            for (machine in underWay.keys.toList()) answer(machine)
        }

    /** Guard: the bound on repeats in `isFree`. */
    @Test
    fun `machines that don't answer take half of the slots at the most`() =
        runTest {
            val gate = CommandGate(4)
            ask(gate, CommandUrgency.REPEAT, "m-1", "m-2", "m-3", "m-4")
            assertEquals(setOf("m-1", "m-2"), underWay.keys)
            ask(gate, CommandUrgency.ASK, "m-5", "m-6", "m-7")
            assertEquals(setOf("m-1", "m-2", "m-5", "m-6"), underWay.keys)
            answer("m-5")
            assertEquals(setOf("m-1", "m-2", "m-6", "m-7"), underWay.keys)
            answer("m-1")
            assertEquals(setOf("m-2", "m-6", "m-7", "m-3"), underWay.keys)
            for (machine in underWay.keys.toList()) answer(machine)
            answer("m-4")
            assertEquals(0, gate.waitingCount)
        }

    @Test
    fun `a machine that waits goes ahead when there is something to stop on it`() =
        runTest {
            val gate = CommandGate(1)
            ask(gate, CommandUrgency.ASK, "m-1", "m-2", "m-3")
            gate.promote("m-3", CommandUrgency.STOP)
            answer("m-1")
            assertEquals(setOf("m-3"), underWay.keys)
            answer("m-3")
            answer("m-2")
        }

    /** Guard: the release in `await`, and the removal beside it: a slot that is lost never comes back. */
    @Test
    fun `who gives up while waiting or in the middle holds no slot`() =
        runTest {
            val gate = CommandGate(1)
            val first = ask(gate, CommandUrgency.START, "m-1").single()
            val second = ask(gate, CommandUrgency.START, "m-2").single()
            second.cancel()
            runCurrent()
            assertEquals(0, gate.waitingCount)
            ask(gate, CommandUrgency.START, "m-3")
            first.cancel()
            runCurrent()
            answer("m-3")
            ask(gate, CommandUrgency.START, "m-4")
            answer("m-4")
        }
}
