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
        MachineType("gpu", Resources(96.0, 8.0, 768.0), 400.0, 1.7, 27.0, 7.0, 30.0, listOf("a", "b", "c"))

    private fun service(
        count: Int,
        zoneLimits: List<Int>,
    ) = ResourceRequest(
        2.0,
        0.0,
        2.7,
        zones = listOf("a", "b", "c"),
        count = count,
        isService = true,
        zoneLimits = zoneLimits,
    )

    private fun plan(
        resourceRequests: List<ResourceRequest>,
        pending: MutableList<PlannedMachine> = ArrayList(),
    ): Map<Offer, Int> {
        val conditions = OfferConditions({ false }, { 0 }, { false }, { 1.0 })
        return ScaleOutPlan(listOf(small, large, gpus), conditions, pending, emptyMap(), 100, ZoneChoices())
            .plan(resourceRequests)
    }

    /**
     * Guards against two faults. Planned job by job, no job filled the larger and cheaper machine. And tasks that a
     * zone limit kept out of one zone were found to need a machine in another only after the first machines were up.
     */
    @Test
    fun `many small jobs share large machines and are spread over zones`() {
        val plan = plan(List(16) { service(4, listOf(2, 2, 2)) })
        assertTrue(plan.keys.all { it.type == "large" }, "$plan")
        assertEquals(setOf("a", "b"), plan.keys.map { it.zone }.toSet())
        assertEquals(4, plan.values.sum())
    }

    /**
     * Guards against a job that is accepted and waits forever. A task of 40 cores without GPUs fits only a GPU machine.
     * With the cores of all its GPUs reserved, none was ever provisioned.
     */
    @Test
    fun `a task without GPUs that fits no other machine gets one with GPUs`() {
        val plan = plan(listOf(ResourceRequest(40.0, 0.0, 8.0, count = 2)))
        assertEquals(setOf("gpu"), plan.keys.map { it.type }.toSet())
        assertEquals(1, plan.values.sum(), "both fit on one")
    }

    @Test
    fun `tasks without GPUs leave the cores that GPUs need`() {
        val machine = PlannedMachine(Offer("gpu", "c", false), gpus.resources)
        plan(listOf(service(60, emptyList())), arrayListOf(machine))
        assertTrue(machine.free.cores >= 8 * 12 * 0.7 - 1e-6, "${machine.free}")
    }
}
