package micatally.fleet

import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ScaleOutPlanTest {
    private val small = MachineType("small", Resources(8.0, 0.0, 32.0), 40.0, 0.1, 0.62, 0.2, 30.0, listOf("a"))
    private val large = MachineType("large", Resources(32.0, 0.0, 64.0), 70.0, 0.1, 2.01, 0.5, 15.0, listOf("a", "b"))
    private val gpus =
        MachineType("cards", Resources(96.0, 8.0, 768.0), 400.0, 1.7, 27.0, 7.0, 30.0, listOf("a", "b", "c"))

    private fun gateway(
        count: Int,
        room: List<Int>,
    ) = ResourceRequest(
        2.0,
        0.0,
        2.7,
        zones = listOf("a", "b", "c"),
        count = count,
        isService = true,
        zoneLimits = room,
    )

    private fun plan(
        demands: List<ResourceRequest>,
        coming: MutableList<ScaleOutPlan.Room> = ArrayList(),
    ) = ScaleOutPlan.plan(
        demands,
        coming,
        listOf(small, large, gpus),
        Market({
            false
        }, { 1.0 }),
        emptyMap(),
        100,
    )

    /** Found at size: each job alone was too small for the larger and cheaper machine, and the tasks that its zone rule kept
     * out of the one zone were only seen to need another when the machines were up. */
    @Test
    fun `many small jobs share large machines and are spread from the start`() {
        val p = plan(List(16) { gateway(4, listOf(2, 2, 2)) })
        assertTrue(p.keys.all { it.type == "large" }, "$p")
        assertEquals(setOf("a", "b"), p.keys.map { it.zone }.toSet())
        assertEquals(4, p.values.sum())
    }

    /** Found in a test of stored teams: a task of 40 cores without cards, which only a card machine has, was never rented for,
     * since the cores of all its cards were kept. Its job was accepted and waited for good. */
    @Test
    fun `a task without cards that fits no other machine gets one with cards`() {
        val p = plan(listOf(ResourceRequest(40.0, 0.0, 8.0, count = 2)))
        assertEquals(setOf("cards"), p.keys.map { it.type }.toSet())
        assertEquals(1, p.values.sum(), "both fit on one")
    }

    @Test
    fun `tasks without cards leave the cores that cards need`() {
        val room = ScaleOutPlan.Room("cards", "c", false, gpus.resources)
        plan(listOf(gateway(60, emptyList())), arrayListOf(room))
        assertTrue(room.free.cores >= 8 * 12 * 0.7 - 1e-6, "${room.free}")
    }
}
