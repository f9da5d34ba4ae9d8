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

    private fun TestScope.startRequests(
        gate: CommandGate,
        urgency: CommandUrgency,
        vararg machines: String,
    ) = machines.map { machine ->
        val request =
            launch {
                gate.withSlot(machine, urgency) {
                    val response = CompletableDeferred<Unit>()
                    underWay[machine] = response
                    response.await()
                }
            }
        runCurrent()
        request
    }

    private fun TestScope.respond(machine: String) {
        underWay.remove(machine)!!.complete(Unit)
        runCurrent()
    }

    /** Without the limit, an outage of many machines would use all sockets of the controller. */
    @Test
    fun `no more requests are under way than there are slots, and stops go first`() =
        runTest {
            val gate = CommandGate(2)
            startRequests(gate, CommandUrgency.QUERY, "m-1", "m-2", "m-3")
            startRequests(gate, CommandUrgency.START, "m-4")
            startRequests(gate, CommandUrgency.STOP, "m-5")
            assertEquals(setOf("m-1", "m-2"), underWay.keys)
            for (machine in listOf("m-1", "m-2", "m-5")) respond(machine)
            assertEquals(setOf("m-4", "m-3"), underWay.keys)
            for (machine in underWay.keys.toList()) respond(machine)
        }

    /** Guards the limit on retries in `isFree`: unresponsive machines must not delay requests to the others. */
    @Test
    fun `machines that do not respond get at most half of the slots`() =
        runTest {
            val gate = CommandGate(4)
            startRequests(gate, CommandUrgency.RETRY, "m-1", "m-2", "m-3", "m-4")
            assertEquals(setOf("m-1", "m-2"), underWay.keys)
            startRequests(gate, CommandUrgency.QUERY, "m-5", "m-6", "m-7")
            assertEquals(setOf("m-1", "m-2", "m-5", "m-6"), underWay.keys)
            respond("m-5")
            assertEquals(setOf("m-1", "m-2", "m-6", "m-7"), underWay.keys)
            respond("m-1")
            assertEquals(setOf("m-2", "m-6", "m-7", "m-3"), underWay.keys)
            for (machine in underWay.keys.toList()) respond(machine)
            respond("m-4")
            assertEquals(0, gate.waitingCount)
        }

    @Test
    fun `a waiting machine is moved ahead when a task on it is to be stopped`() =
        runTest {
            val gate = CommandGate(1)
            startRequests(gate, CommandUrgency.QUERY, "m-1", "m-2", "m-3")
            gate.promote("m-3", CommandUrgency.STOP)
            respond("m-1")
            assertEquals(setOf("m-3"), underWay.keys)
            respond("m-3")
            respond("m-2")
        }

    /**
     * A cancelled request must release its slot, or stop waiting for one: a slot that is not released is lost for good.
     */
    @Test
    fun `a request that is cancelled while it waits or runs holds no slot`() =
        runTest {
            val gate = CommandGate(1)
            val first = startRequests(gate, CommandUrgency.START, "m-1").single()
            val second = startRequests(gate, CommandUrgency.START, "m-2").single()
            second.cancel()
            runCurrent()
            assertEquals(0, gate.waitingCount)
            startRequests(gate, CommandUrgency.START, "m-3")
            first.cancel()
            runCurrent()
            respond("m-3")
            startRequests(gate, CommandUrgency.START, "m-4")
            respond("m-4")
        }
}
