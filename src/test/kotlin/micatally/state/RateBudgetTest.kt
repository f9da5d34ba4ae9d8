package micatally.state

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

@OptIn(ExperimentalCoroutinesApi::class)
class RateBudgetTest {
    /** Work lands unevenly: a node may use what the others leave, until the service refuses it. */
    @Test
    fun `urgent work borrows until it is refused, and summaries never do`() =
        runTest {
            val b = RateBudget(this, 5.0, { currentTime }, 20.0)
            repeat(5) { assertFalse(b.take(1, Urgency.ACCEPTANCE, true)) }
            repeat(20) { assertTrue(b.take(1, Urgency.ACCEPTANCE, true)) }
            assertEquals(0, currentTime)
            b.loanRefused()
            assertFalse(b.take(1, Urgency.ACCEPTANCE, true))
            assertTrue(currentTime in 150..250, "$currentTime")
            kotlinx.coroutines.delay(2000)
            repeat(5) { b.take(1, Urgency.INTENT) }
            assertFalse(b.take(1, Urgency.SUMMARY, true))
        }

    @Test
    fun `the more urgent is served first`() =
        runTest {
            val b = RateBudget(this, 5.0, { currentTime })
            repeat(5) { b.take(1, Urgency.SUMMARY) }
            val order = ArrayList<Urgency>()
            for (u in listOf(Urgency.SUMMARY, Urgency.INTENT, Urgency.ACCEPTANCE, Urgency.LEASE)) {
                launch {
                    b.take(1, u)
                    order.add(u)
                }
            }
            testScheduler.advanceUntilIdle()
            assertEquals(Urgency.entries.toList(), order)
        }
}
