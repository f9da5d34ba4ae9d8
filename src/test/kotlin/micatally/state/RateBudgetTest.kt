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
    /**
     * The load of the controllers is uneven, so a controller may borrow from the shares that the others do not use,
     * until the service refuses a borrowed request.
     */
    @Test
    fun `urgent requests borrow until one is refused, and summaries never borrow`() =
        runTest {
            val budget = RateBudget(this, 5.0, { currentTime }, 20.0)
            repeat(5) { assertFalse(budget.takeOrBorrow(1, Urgency.ACCEPTANCE)) }
            repeat(20) { assertTrue(budget.takeOrBorrow(1, Urgency.ACCEPTANCE)) }
            assertEquals(0, currentTime)
            budget.pauseBorrowing()
            assertFalse(budget.takeOrBorrow(1, Urgency.ACCEPTANCE))
            assertTrue(currentTime in 150..250, "$currentTime")
            delay(2000)
            repeat(5) { budget.take(1, Urgency.INTENT) }
            assertFalse(budget.takeOrBorrow(1, Urgency.SUMMARY))
        }

    @Test
    fun `more urgent requests are served first`() =
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
