package micatally.membership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class ContactPeriodTest {
    private var now = 0L
    private val period = ContactPeriod(maxGapMs = 100) { now }

    /** Guards against silence that counts although this process was suspended or cut off meanwhile. */
    @Test
    fun `a period ends with a gap between proofs, and the next one begins with the next proof`() {
        assertNull(period.sinceMs)
        for (atMs in listOf(1000L, 1090L, 1190L)) period.proven(atMs)
        now = 1290
        assertEquals(1000, period.sinceMs)
        now = 1291
        assertNull(period.sinceMs)
        period.proven(1291)
        assertEquals(1291, period.sinceMs)
    }

    /** A response that was processed late proves contact only when its request was sent. */
    @Test
    fun `a late proof does not bridge the gap before now`() {
        period.proven(1000)
        now = 5000
        period.proven(1050)
        assertNull(period.sinceMs)
        period.proven(1010)
        assertNull(period.sinceMs)
    }
}
