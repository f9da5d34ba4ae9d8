package micatally.api

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import micatally.archive.RecordLookup
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.state.RateBudget
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

@OptIn(ExperimentalCoroutinesApi::class)
class RecordReadsTest {
    private var requestsSent = 0

    /** Returns reads from a state store that responds with 404 after 200 ms. */
    private fun TestScope.reads(
        perSecond: Double,
        maxWaiting: Int,
    ): RecordReads {
        val caller =
            HttpCaller { _, _, _, _, _ ->
                requestsSent++
                delay(200)
                Outcome.Answer(404, "{\"odometer\":1}".encodeToByteArray())
            }

        fun budget(rate: Double) = RateBudget(backgroundScope, rate, { testScheduler.currentTime })
        val state = StateStoreClient(caller, "state:1", budget(1000.0), budget(1000.0), 1000)
        return RecordReads(RecordLookup(state) { false }, budget(perSecond), maxWaiting, 1000)
    }

    /**
     * A query must not join a read whose request has been sent: the result may be older than what another controller
     * has told the user since.
     */
    @Test
    fun `queries for one job share a read that waits but none that was sent`() =
        runTest {
            val reads = reads(perSecond = 2.0, maxWaiting = 10)
            val first = async { reads.read("j-1") }
            val second = async { reads.read("j-2") }
            delay(1)
            assertEquals(2, requestsSent)
            val joined = List(50) { async { reads.read("j-1") } }
            delay(1)
            assertEquals(2, requestsSent, "the budget of one second is used up, the next read waits")
            assertTrue((listOf(first, second) + joined).awaitAll().all { it is ReadResult.Missing })
            assertEquals(3, requestsSent)
        }

    /**
     * Only a bounded number of reads may wait for the budget. A read beyond it must be refused at once instead of
     * waiting.
     */
    @Test
    fun `reads beyond the limit of waiting reads are refused at once`() =
        runTest {
            val reads = reads(perSecond = 2.0, maxWaiting = 3)
            val all = List(20) { i -> async { reads.read("j-$i") } }
            delay(1)
            assertEquals(15, all.count { it.isCompleted }, "all are refused but two that were sent and three that wait")
            all.awaitAll()
            assertTrue(testScheduler.currentTime <= 1600, "the time that a read may take is bounded")
        }
}
