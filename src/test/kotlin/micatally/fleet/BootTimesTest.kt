package micatally.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class BootTimesTest {
    private val offer = Offer("g8", "a", false)
    private val nominalMs = 30_000L
    private val bootTimes = BootTimes { nominalMs }

    @Test
    fun `a few late machines do not extend the expected boot time`() {
        repeat(8) { bootTimes.recordBoot(offer, 25_000, 0) }
        bootTimes.updateBooting(List(2) { BootingInstance(offer, 100_000) }, 100_000)
        assertTrue(bootTimes.expectedWithinMs(offer) in nominalMs..nominalMs * 2)
        assertEquals(1.0, bootTimes.slowness(offer))
        assertTrue(bootTimes.bootTimeoutMs(offer) <= nominalMs * 4)
    }

    /**
     * Guards against deleting and provisioning machines again while all of them boot slowly. That happens if
     * [BootTimes] counts only completed boots and ignores the ages of machines that are still booting.
     */
    @Test
    fun `when all machines of a type and zone are late the expected boot time is extended`() {
        repeat(2) { bootTimes.recordBoot(offer, 25_000, 0) }
        bootTimes.updateBooting(List(5) { BootingInstance(offer, 100_000) }, 100_000)
        assertEquals(nominalMs * 4, bootTimes.expectedWithinMs(offer))
        assertTrue(bootTimes.bootTimeoutMs(offer) > nominalMs * 9)
        assertTrue(bootTimes.slowness(offer) > 3)
        assertEquals(1.0, bootTimes.slowness(offer.copy(zone = "b")))
    }

    @Test
    fun `slow boots extend the expected boot time until they are forgotten`() {
        repeat(4) { bootTimes.recordBoot(offer, 150_000, 0) }
        assertTrue(bootTimes.expectedWithinMs(offer) > 150_000)
        assertTrue(bootTimes.bootTimeoutMs(offer) > 250_000)
        bootTimes.updateBooting(emptyList(), nominalMs * 11)
        assertEquals(nominalMs * 2, bootTimes.expectedWithinMs(offer), "slow boots are forgotten")
    }

    @Test
    fun `without any observed boot the nominal boot time counts`() {
        assertEquals(nominalMs * 2, bootTimes.expectedWithinMs(offer))
        assertEquals(nominalMs * 4, bootTimes.bootTimeoutMs(offer))
    }
}
