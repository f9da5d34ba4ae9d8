package micatally.sim

import micatally.membership.Keys
import micatally.wire.text
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * The fleet manager deletes machines only on what it knows of the other controllers now, and what it has begun takes no
 * effect once another controller is the fleet manager.
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

    /**
     * Guards [micatally.fleet.GracefulEviction] against deleting a machine as idle on which another controller has just
     * placed a task: while controllers refuse each other's connections, the fleet manager hears of it late.
     */
    @Test
    fun `a fleet manager that does not hear its peers deletes no machine on which they have placed a task`() =
        forEachSeed(hcmc) {
            val peers = (0 until fleet.nodes).filter { !fleet.live[it]!!.isFleetManager }
            val deletedInUse = recordDeletionsInUse()
            fleet.net.peersRefuse = true
            repeat(JOBS) {
                submit(peers.random(fleet.random), "sweep", 1, "loaners" to false, runMs = RUN_MS)
                val idleMs = fleet.operator.fleetIdleBoots * BOOT_MS
                fleet.runFor(RUN_MS + idleMs.toLong() + fleet.random.nextLong(fleet.lease / 4))
            }
            assertEquals(emptyList<String>(), deletedInUse, "machines that were deleted with running tasks")
            fleet.net.peersRefuse = false
            fleet.runFor(fleet.lease * 3)
            assertEquals(0, fleet.cloud.count(), "idle machines are deleted once the peers are heard")
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

        const val JOBS = 30
        const val RUN_MS = 3000L

        /** The boot time of the simulated machine types. */
        const val BOOT_MS = 6000
        val hcmc = Timing.DEPLOYMENTS.getValue("hcmc")
    }
}
