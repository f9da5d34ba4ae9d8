package micatally.state

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StateLimitsTest {
    private val largeLimits = StateLimits(600.0, 250.0, 16 * 1024, 48)

    /** A fixed bound of 400 attempts would restrict one job to a tenth of a fleet of 4,000 machines. */
    @Test
    fun `one job may have as many attempts as its record holds, up to one for each machine`() {
        assertEquals(400, largeLimits.attemptsOfOneJob(60))
        assertEquals(400, largeLimits.attemptsOfOneJob(400))
        assertEquals(700, largeLimits.attemptsOfOneJob(700))
        val atFleetOf4000 = largeLimits.attemptsOfOneJob(4000)
        assertTrue(atFleetOf4000 in 1000..1200, "what a compressed record holds: $atFleetOf4000")
    }

    @Test
    fun `small limits on values and transactions allow fewer attempts`() {
        assertEquals(51, StateLimits(80.0, 18.0, 2 * 1024, 3).attemptsOfOneJob(60))
        assertEquals(400, StateLimits(80.0, 18.0, 2 * 1024, 6).attemptsOfOneJob(60))
    }
}
