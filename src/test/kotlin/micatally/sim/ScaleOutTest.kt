package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Machines that boot late are waited for and are not provisioned a second time. */
class ScaleOutTest {
    /**
     * Guards [micatally.fleet.BootTimes]: late machines are waited for as long as all of them are late. Each used to be
     * given up after four nominal boot times and provisioned again, so none ever finished booting.
     */
    @Test
    fun `machines that boot seven times as slowly as stated are waited for, and few spare ones are provisioned`() =
        forEachSeed(before = {
            cloud.bootMs =
                { (it.readyS * 7000).toLong() }
        }) {
            val jobIds = (0..2).map { submit(it, "daemon", 2, "cores" to 4.0, "loaners" to false) }
            var maxMachineCount = 0
            runUntil(fleet.lease * 12, "all replicas run") {
                maxMachineCount = maxOf(maxMachineCount, fleet.cloud.count())
                jobIds.all { tasks(it).size == 2 }
            }
            assertTrue(maxMachineCount <= MAX_MACHINES_NEEDED * 2, "$maxMachineCount machines at once")
        }

    /**
     * Guards [micatally.fleet.ScaleOut]: a provisioning request stays recorded until its machines have booted. A new
     * fleet manager used to provision again all that was still booting.
     */
    @Test
    fun `a new fleet manager does not provision again what its predecessor has provisioned`() =
        forEachSeed(before = {
            cloud.bootMs =
                { (it.readyS * 5000).toLong() }
        }) {
            val jobIds = (1..2).map { submit(it, "daemon", 2, "cores" to 4.0, "loaners" to false) }
            runUntil(fleet.lease, "machines are provisioned") { fleet.cloud.count() > 0 }
            fleet.runFor(fleet.lease / 10)
            val before = fleet.cloud.count()
            fleet.crash(fleetManager()!!)
            runUntil(fleet.lease * 3 / 2, "another node is fleet manager") { fleetManager() != null }
            fleet.runFor(fleet.lease / 10)
            assertEquals(
                before,
                fleet.cloud.count(),
                "at ${fleet.now} ms; provisioning records ${fleet.state.keysUnder("partition/rent/")}",
            )
            runUntil(fleet.lease * 6, "all replicas run") { jobIds.all { tasks(it).size == 2 } }
        }

    private companion object {
        /** The largest number of simulated machines that the tasks of a test need. */
        const val MAX_MACHINES_NEEDED = 3
    }
}
