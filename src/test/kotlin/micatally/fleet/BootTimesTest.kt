package micatally.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class BootTimesTest {
    private val offer = Offer("g8", "a", false)
    private val nominal = 30_000L
    private val times = BootTimes { nominal }

    @Test
    fun `a few late machines are no longer expected, the others are`() {
        repeat(8) { times.recordBoot(offer, 25_000, 0) }
        times.updateBooting(List(2) { BootingInstance(offer, 100_000) }, 100_000)
        assertTrue(times.expectedWithinMs(offer) in nominal..nominal * 2)
        assertEquals(1.0, times.slowness(offer))
        assertTrue(times.bootTimeoutMs(offer) <= nominal * 4)
    }

    /**
     * Guards against deleting and provisioning machines again while all of them boot slowly. That happens if
     * [BootTimes] counts only completed boots and ignores the ages of machines that are still booting.
     */
    @Test
    fun `when all machines of a type and zone are late they are waited for`() {
        repeat(2) { times.recordBoot(offer, 25_000, 0) }
        times.updateBooting(List(5) { BootingInstance(offer, 100_000) }, 100_000)
        assertEquals(nominal * 4, times.expectedWithinMs(offer))
        assertTrue(times.bootTimeoutMs(offer) > nominal * 9)
        assertTrue(times.slowness(offer) > 3)
        assertEquals(1.0, times.slowness(offer.copy(zone = "b")))
    }

    @Test
    fun `boots that were slow before are expected to be`() {
        repeat(4) { times.recordBoot(offer, 150_000, 0) }
        assertTrue(times.expectedWithinMs(offer) > 150_000)
        assertTrue(times.bootTimeoutMs(offer) > 250_000)
        times.updateBooting(emptyList(), nominal * 11)
        assertEquals(nominal * 2, times.expectedWithinMs(offer), "a spell of slow boots passes")
    }

    @Test
    fun `without any boot observed the nominal time counts`() {
        assertEquals(nominal * 2, times.expectedWithinMs(offer))
        assertEquals(nominal * 4, times.bootTimeoutMs(offer))
    }
}
