package micatally.state

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

@OptIn(ExperimentalCoroutinesApi::class)
class RateBudgetTest {
    /** Load is uneven: a controller may use what the others leave of their shares, until the service refuses it. */
    @Test
    fun `urgent work borrows until it is refused, and summaries never do`() =
        runTest {
            val budget = RateBudget(this, 5.0, { currentTime }, 20.0)
            repeat(5) { assertFalse(budget.takeOrBorrow(1, Urgency.ACCEPTANCE)) }
            repeat(20) { assertTrue(budget.takeOrBorrow(1, Urgency.ACCEPTANCE)) }
            assertEquals(0, currentTime)
            budget.borrowingRefused()
            assertFalse(budget.takeOrBorrow(1, Urgency.ACCEPTANCE))
            assertTrue(currentTime in 150..250, "$currentTime")
            delay(2000)
            repeat(5) { budget.take(1, Urgency.INTENT) }
            assertFalse(budget.takeOrBorrow(1, Urgency.SUMMARY))
        }

    @Test
    fun `the more urgent is served first`() =
        runTest {
            val budget = RateBudget(this, 5.0, { currentTime })
            repeat(5) { budget.take(1, Urgency.SUMMARY) }
            val served = ArrayList<Urgency>()
            for (urgency in listOf(Urgency.SUMMARY, Urgency.INTENT, Urgency.ACCEPTANCE, Urgency.LEASE)) {
                launch {
                    budget.take(1, urgency)
                    served.add(urgency)
                }
            }
            testScheduler.advanceUntilIdle()
            assertEquals(Urgency.entries.toList(), served)
        }
}
