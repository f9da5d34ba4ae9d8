package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Machines that come up late are waited for and are not rented a second time. */
class ScaleOutTest {
    /** Guard: late machines are waited for while all are late ([micatally.fleet.BootTimes]). Before, each was given up after four nominal
     * boots and ordered anew, so that none ever came. */
    @Test
    fun `machines that take seven times as long come up, and little more than needed is rented`() =
        each(before = {
            cloud.bootMs =
                { (it.readyS * 7000).toLong() }
        }) {
            val jobIds = (0..2).map { submit(it, "daemon", 2, "cores" to 4.0, "loaners" to false) }
            var most = 0
            runUntil(f.lease * 12, "all replicas run") {
                most = maxOf(most, f.cloud.count())
                jobIds.all { tasks(it).size == 2 }
            }
            assertTrue(most <= NEEDED_AT_MOST * 2, "$most machines at once")
        }

    /** Guard: a provisioning request stays stored until its machines are up ([micatally.fleet.ScaleOut]). Before, a new fleet manager
     * provisioned all machines that were booting once more. */
    @Test
    fun `a new fleet manager does not rent again what its predecessor has rented`() =
        each(before = {
            cloud.bootMs =
                { (it.readyS * 5000).toLong() }
        }) {
            val jobIds = (1..2).map { submit(it, "daemon", 2, "cores" to 4.0, "loaners" to false) }
            runUntil(f.lease, "machines are rented") { f.cloud.count() > 0 }
            f.runFor(f.lease / 10)
            val before = f.cloud.count()
            f.crash(leader()!!)
            runUntil(f.lease * 3 / 2, "another node manages the fleet") { leader() != null }
            f.runFor(f.lease / 10)
            assertEquals(before, f.cloud.count(), "at ${f.now}; notes ${f.state.keysUnder("c/rent/")}")
            runUntil(f.lease * 6, "all replicas run") { jobIds.all { tasks(it).size == 2 } }
        }

    private fun Scenario.leader() = (0 until f.nodes).firstOrNull { f.live[it]?.isFleetManager == true }

    private companion object {
        /** Machines of the simulation that take all tasks of a test. */
        const val NEEDED_AT_MOST = 3
    }
}
