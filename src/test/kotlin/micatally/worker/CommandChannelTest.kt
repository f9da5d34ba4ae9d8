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
    fun `a run command may arrive late until a higher token is accepted`() {
        channel.recordRun(attempt, 7)
        assertTrue(channel.mayRunArriveAfter(attempt, 6))
        channel.confirmToken(7)
        assertTrue(channel.mayRunArriveAfter(attempt, 7))
        assertFalse(channel.mayRunArriveAfter(attempt, 8))
        channel.confirmToken(8)
        assertFalse(channel.mayRunArriveAfter(attempt, 7))
    }

    @Test
    fun `of several run commands of an attempt the one with the highest token counts`() {
        channel.recordRun(attempt, 9)
        channel.recordRun(attempt, 7)
        channel.confirmToken(8)
        assertTrue(channel.mayRunArriveAfter(attempt, 9))
        assertFalse(channel.mayRunArriveAfter(attempt, 10))
    }

    /** A machine that has accepted a higher token rejects such a command, even if it has never listed the attempt. */
    @Test
    fun `a run command with a token below the confirmed one can't arrive late`() {
        channel.confirmToken(8)
        channel.recordRun(attempt, 7)
        assertFalse(channel.mayRunArriveAfter(attempt, 7))
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
