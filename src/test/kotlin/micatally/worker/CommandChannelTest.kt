package micatally.worker

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CommandChannelTest {
    private val channel = CommandChannel()
    private val attempt = AttemptId("j-1", 0, 1)

    /**
     * Guards the comparison in `confirmToken`: a machine still accepts a late command that carries the confirmed token.
     */
    @Test
    fun `a run command without a response may arrive late until a higher token is accepted`() {
        channel.addUnansweredRun(attempt, 7)
        assertTrue(channel.mayRunArriveLate(attempt))
        channel.confirmToken(7)
        assertTrue(channel.mayRunArriveLate(attempt) && channel.hasUnansweredRun(attempt))
        channel.confirmToken(8)
        assertFalse(channel.mayRunArriveLate(attempt) || channel.hasUnansweredRun(attempt))
    }

    /** A machine that has accepted a higher token rejects such a command, even if it has never listed the attempt. */
    @Test
    fun `a run command with a token below the confirmed one can't arrive late`() {
        channel.confirmToken(8)
        channel.addUnansweredRun(attempt, 7)
        assertTrue(channel.hasUnansweredRun(attempt))
        assertFalse(channel.mayRunArriveLate(attempt))
    }

    @Test
    fun `the confirmed token never decreases`() {
        channel.confirmToken(8)
        channel.confirmToken(3)
        assertEquals(8, channel.confirmedToken)
    }

    @Test
    fun `a failure causes a retry that requests the task list, and a response resets the failures in a row`() {
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
    fun `the retry callback is always the first one`() {
        val first = {}
        assertSame(first, channel.retryCallback(first))
        assertSame(first, channel.retryCallback { error("not the first") })
    }
}
