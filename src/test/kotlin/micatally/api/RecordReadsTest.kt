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
    private var sent = 0

    /** A state service that answers 404 after a fifth of a second. */
    private fun TestScope.reads(
        perSecond: Double,
        mostWaiting: Int,
    ): RecordReads {
        val caller =
            HttpCaller { _, _, _, _, _ ->
                sent++
                delay(200)
                Outcome.Answer(404, "{\"odometer\":1}".encodeToByteArray())
            }

        fun budget(rate: Double) = RateBudget(backgroundScope, rate, { testScheduler.currentTime })
        val state = StateStoreClient(caller, "state:1", budget(1000.0), budget(1000.0), 1000)
        return RecordReads(RecordLookup(state) { false }, budget(perSecond), mostWaiting, 1000)
    }

    /** Guard: a read that has left is joined by nobody: its answer may be older than what another node told meanwhile. */
    @Test
    fun `questions share a read that waits, never one that has left`() =
        runTest {
            val reads = reads(perSecond = 2.0, mostWaiting = 10)
            val first = async { reads.read("j-1") }
            val second = async { reads.read("j-2") }
            delay(1)
            assertEquals(2, sent)
            val joined = List(50) { async { reads.read("j-1") } }
            delay(1)
            assertEquals(2, sent, "one second's worth has left, the next read waits for its turn")
            assertTrue((listOf(first, second) + joined).awaitAll().all { it is ReadResult.Missing })
            assertEquals(3, sent)
        }

    /** Guard: a bounded number of reads waits; the rest is refused at once. */
    @Test
    fun `what can't be read soon is refused at once`() =
        runTest {
            val reads = reads(perSecond = 2.0, mostWaiting = 3)
            val all = List(20) { i -> async { reads.read("j-$i") } }
            delay(1)
            assertEquals(15, all.count { it.isCompleted }, "all but two under way and three that wait")
            all.awaitAll()
            assertTrue(testScheduler.currentTime <= 1600, "nobody waits for longer than the limit")
        }
}
