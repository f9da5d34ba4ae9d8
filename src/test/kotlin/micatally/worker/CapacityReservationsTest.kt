package micatally.worker

import micatally.wire.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CapacityReservationsTest {
    private val machine = Machine("m-1", "10.0.0.1:9", "g8", "a", false)
    private val resources = Resources(2.0, 1.0, 4.0)

    @Test
    fun `a reservation counts as used until it is released`() {
        machine.reserve("j-1", 0, resources, untilMs = 100)
        machine.reserve("j-1", 0, resources, untilMs = 200)
        assertTrue(machine.hasReservation("j-1", 0) && machine.hasReservations)
        assertEquals(resources, machine.used)
        assertTrue(machine.releaseReservation("j-1", 0))
        assertFalse(machine.releaseReservation("j-1", 0))
        assertFalse(machine.hasReservations)
        assertEquals(Resources.NONE, machine.used)
    }

    @Test
    fun `only expired reservations are released, and renewing one postpones its expiry`() {
        machine.reserve("j-1", 0, resources, untilMs = 100)
        machine.reserve("j-1", 1, resources, untilMs = 100)
        machine.reserve("j-1", 0, resources, untilMs = 200)
        machine.releaseExpiredReservations(nowMs = 100)
        assertTrue(machine.hasReservation("j-1", 0))
        assertFalse(machine.hasReservation("j-1", 1))
        assertEquals(resources, machine.ownUsed)
    }

    /**
     * Adding and subtracting decimal amounts leaves rounding errors, so that an unused machine would seem to be in use.
     */
    @Test
    fun `an unused machine uses exactly nothing`() {
        for (task in 0 until 3) machine.reserve("j-1", task, Resources(0.1, 0.0, 0.1), untilMs = 100)
        machine.releaseExpiredReservations(nowMs = 100)
        assertEquals(Resources.NONE, machine.ownUsed)
    }
}
