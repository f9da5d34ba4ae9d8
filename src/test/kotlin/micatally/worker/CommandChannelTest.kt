package micatally.worker

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CommandChannelTest {
    private val channel = CommandChannel()
    private val attempt = AttemptId("j-1", 0, 1)

    /** Guard: the comparison in `confirmToken`; the same token does not rule out a command that carries it. */
    @Test
    fun `a run without a response may arrive late until a higher token is accepted`() {
        channel.addUnansweredRun(attempt, 7)
        assertTrue(channel.mayRunArriveLate(attempt))
        channel.confirmToken(7)
        assertTrue(channel.mayRunArriveLate(attempt) && channel.hasUnansweredRun(attempt))
        channel.confirmToken(8)
        assertFalse(channel.mayRunArriveLate(attempt) || channel.hasUnansweredRun(attempt))
    }

    /** Guard: the machine has rejected such a command already, though the attempt was never seen on it. */
    @Test
    fun `a run under a token below the confirmed one can't arrive late`() {
        channel.confirmToken(8)
        channel.addUnansweredRun(attempt, 7)
        assertTrue(channel.hasUnansweredRun(attempt))
        assertFalse(channel.mayRunArriveLate(attempt))
    }

    @Test
    fun `the confirmed token never falls`() {
        channel.confirmToken(8)
        channel.confirmToken(3)
        assertEquals(8, channel.confirmedToken)
    }

    @Test
    fun `a failure asks for a repetition with a status, a response ends the series`() {
        channel.recordFailure()
        channel.recordFailure()
        channel.markUnreachableUntil(500)
        assertEquals(2, channel.failuresInRow)
        assertTrue(channel.isSyncRequested && channel.needsStatus)
        channel.recordResponse()
        assertEquals(0, channel.failuresInRow)
        assertEquals(0, channel.unreachableUntilMs)
    }

    @Test
    fun `the retry function is always the first one`() {
        val first = {}
        assertSame(first, channel.retry(first))
        assertSame(first, channel.retry { error("not the first") })
    }
}
