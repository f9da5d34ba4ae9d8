package micatally.sim

import micatally.membership.Keys
import micatally.wire.text
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * What a fleet manager has begun takes no effect once another controller is the fleet manager.
 */
class FleetManagerTest {
    /**
     * Guards the condition of [micatally.fleet.EvictionRecords] on the fleet manager's term: the write of a former
     * fleet manager that is executed late must not evict a machine for the present one.
     */
    @Test
    fun `an eviction record of a former fleet manager is rejected when it arrives late`() =
        forEachSeed {
            val manager = (0 until fleet.nodes).first { fleet.live[it]!!.isFleetManager }
            fleet.stateFaults.holdWriteOf = { node, body ->
                WRITE_DELAY_MS.takeIf { node == manager && "\"put\":\"${Keys.DRAIN}" in body }
            }
            submit(manager, "sweep", 1, "loaners" to false, runMs = 1000)
            runUntil(fleet.lease * 12, "an idle machine is evicted") { fleet.stateFaults.writesWithoutResponse > 0 }
            val executedBy = fleet.now + WRITE_DELAY_MS + 1000
            fleet.crash(manager)
            val others = (0 until fleet.nodes) - manager
            runUntil(fleet.lease * 3 / 2, "another fleet manager") { others.any { fleet.live[it]!!.isFleetManager } }
            while (fleet.now < executedBy) {
                fleet.step(100)
                assertEquals(emptyList<String>(), evictionsBy("pitbox-$manager", others.first()))
            }
        }

    /** The machines that the controller on [host] has evicted, as [node] knows. */
    private fun Scenario.evictionsBy(
        host: String,
        node: Int,
    ) = fleet.live[node]!!
        .membership.sharedKeys
        .under(Keys.DRAIN)
        .filter { it.value.text("by") == host }
        .map { it.key }

    private companion object {
        /** Longer than the lease of a controller and the election of the next fleet manager take. */
        const val WRITE_DELAY_MS = 16_000L
    }
}
