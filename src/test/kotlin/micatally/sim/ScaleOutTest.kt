package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Machines that come up late are waited for and are not rented a second time. */
class ScaleOutTest {
    /**
     * Guard: late machines are waited for while all are late ([micatally.fleet.BootTimes]). Before, each was given up
     * after four nominal boot times and ordered anew, so that none ever came up.
     */
    @Test
    fun `machines that take seven times as long come up, and little more than needed is rented`() =
        forEachSeed(before = {
            cloud.bootMs =
                { (it.readyS * 7000).toLong() }
        }) {
            val jobIds = (0..2).map { submit(it, "daemon", 2, "cores" to 4.0, "loaners" to false) }
            var most = 0
            runUntil(fleet.lease * 12, "all replicas run") {
                most = maxOf(most, fleet.cloud.count())
                jobIds.all { tasks(it).size == 2 }
            }
            assertTrue(most <= NEEDED_AT_MOST * 2, "$most machines at once")
        }

    /**
     * Guard: a rental stays recorded until its machines are up ([micatally.fleet.ScaleOut]). Before, a new fleet
     * manager ordered once more all that was on its way.
     */
    @Test
    fun `a new fleet manager does not rent again what its predecessor has rented`() =
        forEachSeed(before = {
            cloud.bootMs =
                { (it.readyS * 5000).toLong() }
        }) {
            val jobIds = (1..2).map { submit(it, "daemon", 2, "cores" to 4.0, "loaners" to false) }
            runUntil(fleet.lease, "machines are rented") { fleet.cloud.count() > 0 }
            fleet.runFor(fleet.lease / 10)
            val before = fleet.cloud.count()
            fleet.crash(fleetManager()!!)
            runUntil(fleet.lease * 3 / 2, "another node manages the fleet") { fleetManager() != null }
            fleet.runFor(fleet.lease / 10)
            assertEquals(
                before,
                fleet.cloud.count(),
                "at ${fleet.now}; notes ${fleet.state.keysUnder("partition/rent/")}",
            )
            runUntil(fleet.lease * 6, "all replicas run") { jobIds.all { tasks(it).size == 2 } }
        }

    private fun Scenario.fleetManager() = (0 until fleet.nodes).firstOrNull { fleet.live[it]?.isFleetManager == true }

    private companion object {
        /** Machines of the simulation that take all tasks of a test. */
        const val NEEDED_AT_MOST = 3
    }
}
