package micatally.state

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StateLimitsTest {
    private val large = StateLimits(600.0, 250.0, 16 * 1024, 48)

    /** A ceiling of 400 held one job to a tenth of a fleet of 4,000 machines. */
    @Test
    fun `one job may use as many tasks as its record holds, up to one for each machine`() {
        assertEquals(400, large.attemptsOfOneJob(60))
        assertEquals(400, large.attemptsOfOneJob(400))
        assertEquals(700, large.attemptsOfOneJob(700))
        val atSize = large.attemptsOfOneJob(4000)
        assertTrue(atSize in 1000..1200, "what a compressed record holds: $atSize")
    }

    @Test
    fun `small values and small transactions hold less`() {
        assertEquals(51, StateLimits(80.0, 18.0, 2 * 1024, 3).attemptsOfOneJob(60))
        assertEquals(400, StateLimits(80.0, 18.0, 2 * 1024, 6).attemptsOfOneJob(60))
    }
}
