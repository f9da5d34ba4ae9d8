package micatally.worker

import micatally.wire.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CapacityReservationsTest {
    private val machine = Machine("m-1", "10.0.0.1:9", "g8", "a", false)
    private val need = Resources(2.0, 1.0, 4.0)

    @Test
    fun `a reservation counts as used until it is released`() {
        machine.reserve("j-1", 0, need, untilMs = 100)
        machine.reserve("j-1", 0, need, untilMs = 200)
        assertTrue(machine.hasReservation("j-1", 0) && machine.hasReservations)
        assertEquals(need, machine.used)
        assertTrue(machine.releaseReservation("j-1", 0))
        assertFalse(machine.releaseReservation("j-1", 0))
        assertFalse(machine.hasReservations)
        assertEquals(Resources.NONE, machine.used)
    }

    @Test
    fun `only expired reservations are released, and a renewed one lasts longer`() {
        machine.reserve("j-1", 0, need, untilMs = 100)
        machine.reserve("j-1", 1, need, untilMs = 100)
        machine.reserve("j-1", 0, need, untilMs = 200)
        machine.releaseExpiredReservations(nowMs = 100)
        assertTrue(machine.hasReservation("j-1", 0))
        assertFalse(machine.hasReservation("j-1", 1))
        assertEquals(need, machine.ownUsed)
    }

    /** Guard: sums of decimal amounts are not left over as tiny remains when nothing uses the machine any more. */
    @Test
    fun `an unused machine uses exactly nothing`() {
        for (task in 0 until 3) machine.reserve("j-1", task, Resources(0.1, 0.0, 0.1), untilMs = 100)
        machine.releaseExpiredReservations(nowMs = 100)
        assertEquals(Resources.NONE, machine.ownUsed)
    }
}
