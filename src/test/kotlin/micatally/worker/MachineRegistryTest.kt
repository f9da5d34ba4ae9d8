package micatally.worker

import micatally.wire.Heartbeat
import micatally.wire.ListedTask
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MachineRegistryTest {
    private var nowMs = 100_000L
    private val events = ArrayList<String>()

    private val listener =
        object : MachineListener {
            override fun machineAdded(machine: Machine) {
                events.add("added ${machine.name}")
            }

            override fun incarnationChanged(machine: Machine) {
                events.add("incarnation ${machine.incarnation}")
            }

            override fun tasksReported(
                machine: Machine,
                source: StatusSource,
            ) {
                events.add("tasks ${machine.tasks.size} $source")
            }

            override fun statusMissed(machine: Machine) {
                events.add("missed")
            }
        }

    private val registry = MachineRegistry(listener) { nowMs }

    private fun heartbeat(
        incarnation: Long,
        sequence: Long,
        vararg statuses: String,
    ) = Heartbeat(
        "m-1",
        "10.0.0.1:9",
        "g8",
        "a",
        false,
        incarnation,
        sequence,
        0,
        null,
        statuses.mapIndexed { index, status -> ListedTask("j-1", index, 1, status, null, false) },
    )

    private fun eventsOf(action: () -> Unit): List<String> {
        events.clear()
        action()
        return events.toList()
    }

    @Test
    fun `a first heartbeat adds the machine, begins its incarnation and reports its tasks, in this order`() {
        val calls = eventsOf { assertTrue(registry.apply(heartbeat(1, 1, ListedTask.RUNNING), StatusSource.HEARTBEAT)) }
        assertEquals(listOf("added m-1", "incarnation 1", "tasks 1 HEARTBEAT"), calls)
    }

    /** Guards the comparison in `isNewerThan`: a late copy of a heartbeat would restore an outdated task list. */
    @Test
    fun `a repeated or older heartbeat changes nothing, not even the time of the last contact`() {
        registry.apply(heartbeat(2, 5, ListedTask.RUNNING), StatusSource.HEARTBEAT)
        nowMs += 1000
        val calls =
            eventsOf {
                assertFalse(registry.apply(heartbeat(2, 5), StatusSource.HEARTBEAT))
                assertFalse(registry.apply(heartbeat(2, 4), StatusSource.COMMAND_RESPONSE))
                assertFalse(registry.apply(heartbeat(1, 9), StatusSource.HEARTBEAT))
            }
        assertEquals(emptyList<String>(), calls)
        assertEquals(nowMs - 1000, registry.of("m-1")?.heardAt)
        assertEquals(nowMs - 1000, registry.lastReachedAt)
    }

    @Test
    fun `an unchanged task list is reported only with the response to a command`() {
        registry.apply(heartbeat(1, 1, ListedTask.RUNNING), StatusSource.HEARTBEAT)
        val unchanged = eventsOf { registry.apply(heartbeat(1, 2, ListedTask.RUNNING), StatusSource.HEARTBEAT) }
        assertEquals(emptyList<String>(), unchanged)
        val response = eventsOf { registry.apply(heartbeat(1, 3, ListedTask.RUNNING), StatusSource.COMMAND_RESPONSE) }
        assertEquals(listOf("tasks 1 COMMAND_RESPONSE"), response)
        assertEquals(1, registry.of("m-1")?.changedAtSequence)
    }

    @Test
    fun `a forwarded status is applied with its age and does not count as a message from the zone`() {
        val other = MachineRegistry(listener) { nowMs }
        other.apply(heartbeat(1, 1, ListedTask.RUNNING), StatusSource.HEARTBEAT)
        nowMs += 300
        val status = other.statusOf(other.findOrAdd("m-1", "", "", "", false))
        nowMs += 100
        val calls = eventsOf { assertTrue(registry.applyForwarded(status)) }
        assertEquals(listOf("added m-1", "incarnation 1", "tasks 1 PEER"), calls)
        assertEquals(nowMs - 300, registry.of("m-1")?.heardAt)
        assertTrue(registry.reachedAt("a") < 0)
    }

    @Test
    fun `an acknowledgement updates the last contact and shows whether a newer task list was missed`() {
        val other = MachineRegistry(listener) { nowMs }
        for (controller in listOf(registry, other)) {
            controller.apply(heartbeat(1, 1, ListedTask.RUNNING), StatusSource.HEARTBEAT)
        }
        val machine = other.findOrAdd("m-1", "", "", "", false)
        nowMs += 1000
        other.apply(heartbeat(1, 2, ListedTask.RUNNING), StatusSource.HEARTBEAT)
        val unchanged = eventsOf { assertFalse(registry.applyAcknowledgement(other.acknowledgementOf(machine))) }
        assertEquals(emptyList<String>(), unchanged)
        assertEquals(nowMs, registry.of("m-1")?.heardAt)
        other.apply(heartbeat(1, 3, ListedTask.SAVING), StatusSource.HEARTBEAT)
        val changed = eventsOf { assertTrue(registry.applyAcknowledgement(other.acknowledgementOf(machine))) }
        assertEquals(listOf("missed"), changed)
        assertEquals(1, registry.of("m-1")?.sequence)
    }

    /**
     * Guards `isFirst`: while a machine is known only from a job's record, an empty list was no change, so peers with an
     * older list were never sent it.
     */
    @Test
    fun `the first status of a machine counts as a change also if its task list is empty`() {
        registry.findOrAdd("m-1", "10.0.0.1:9", "g8", "a", isSpot = false).incarnation = 1
        val calls = eventsOf { registry.apply(heartbeat(1, 7), StatusSource.HEARTBEAT) }
        assertEquals(listOf("tasks 0 HEARTBEAT"), calls)
        assertEquals(7, registry.of("m-1")?.changedAtSequence)
    }

    /**
     * Guards `addDeletedName`: after a late heartbeat, tasks would be placed on a machine that does not exist any more.
     */
    @Test
    fun `a machine that is known to be deleted stays deleted when a late heartbeat arrives`() {
        registry.addDeletedName("m-1")
        registry.apply(heartbeat(1, 1), StatusSource.HEARTBEAT)
        assertTrue(registry.of("m-1")?.deleted == true)
    }
}
