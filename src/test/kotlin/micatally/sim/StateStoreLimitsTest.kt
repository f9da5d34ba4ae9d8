package micatally.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Stored values keep to the size limits of the state store. */
class StateStoreLimitsTest {
    /** Found at size: a summary of hundreds of machines was larger than a value may be, and was never published again. */
    @Test
    fun `summaries of many machines fit the state service's values`() =
        fleet(5) { f ->
            for (n in 0 until 500) {
                val m = f.live[0]!!.machines.known("m-%06d".format(n), "10.0.0.1:9", "g8", "a", false)
                m.promise("j-1", n, micatally.wire.Resources(1.0, 0.0, 1.0), Long.MAX_VALUE)
            }
            f.runFor(15_000)
            assertTrue(f.state.keysUnder("s/room/pitbox-0/").size > 1)
            assertTrue(f.state.largestValue <= 16 * 1024)
            for (n in 0 until 500) {
                assertEquals(
                    1.0,
                    f.live[1]!!
                        .machines
                        .known("m-%06d".format(n), "10.0.0.1:9", "g8", "a", false)
                        .used.cores,
                )
            }
        }
}
