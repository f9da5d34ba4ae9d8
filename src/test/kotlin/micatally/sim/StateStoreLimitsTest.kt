package micatally.sim

import micatally.wire.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Stored values stay within the size limit of the state store. */
class StateStoreLimitsTest {
    /**
     * Guards the split of a capacity summary over several values. A summary of hundreds of machines is larger than a
     * value may be; unsplit it would never be stored again.
     */
    @Test
    fun `a summary of 500 machines is split over values within the size limit`() =
        withFleet(5) { fleet ->
            for (n in 0 until 500) {
                val machine = fleet.live[0]!!.machines.findOrAdd("m-%06d".format(n), "10.0.0.1:9", "g8", "a", false)
                machine.reserve("j-1", n, Resources(1.0, 0.0, 1.0), Long.MAX_VALUE)
            }
            fleet.runFor(15_000)
            assertTrue(fleet.state.keysUnder("s/room/pitbox-0/").size > 1)
            assertTrue(fleet.state.largestValue <= 16 * 1024)
            for (n in 0 until 500) {
                assertEquals(
                    1.0,
                    fleet.live[1]!!
                        .machines
                        .findOrAdd("m-%06d".format(n), "10.0.0.1:9", "g8", "a", false)
                        .used.cores,
                )
            }
        }
}
