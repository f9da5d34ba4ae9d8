package micatally.scheduling

import micatally.sim.plainSettings
import micatally.wire.Heartbeat
import micatally.worker.MachineRegistry
import micatally.worker.NoMachineListener
import micatally.worker.StatusSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ClusterViewTest {
    private var nowMs = 100_000L
    private val machines = MachineRegistry(NoMachineListener) { nowMs }
    private val view = ClusterView(plainSettings(), machines) { emptyList() }

    private fun heartbeat(machine: String) =
        Heartbeat(machine, "$machine:9", "g8", "a", false, 1, 1, 0, null, emptyList())

    /** Guards the `unusable` field of the log: it tells apart why a job waits beside a machine with free capacity. */
    @Test
    fun `machines on which no task may be placed are counted by reason`() {
        machines.apply(heartbeat("m-1"), StatusSource.HEARTBEAT)
        machines.apply(heartbeat("m-2"), StatusSource.HEARTBEAT)
        machines.findOrAdd("m-3", "m-3:9", "g8", "a", isSpot = false)
        machines.of("m-2")!!.draining = true
        val expected = mapOf(UnusableReason.DRAINING to 1, UnusableReason.STATUS_UNKNOWN to 1)
        assertEquals(expected, view.countUnusable(nowMs))
        nowMs += plainSettings().leaseMs
        assertEquals(expected + (UnusableReason.SILENT to 1), view.countUnusable(nowMs))
    }
}
