package micatally.peer

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.state.RateBudget
import micatally.state.StateStoreClient
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

@OptIn(ExperimentalCoroutinesApi::class)
class SummaryPartitionsTest {
    private val valueBytes = 2048
    private val sent = ArrayList<Int>()
    private val machines = List(20) { "m-%06d".format(it) }

    private fun TestScope.partitions(): SummaryPartitions {
        val http =
            HttpCaller { _, _, _, body, _ ->
                sent.add(body!!.size)
                Outcome.Answer(200, "{\"odometer\":1}".encodeToByteArray())
            }

        fun budget() = RateBudget(backgroundScope, 100.0, { testScheduler.currentTime })
        return SummaryPartitions(StateStoreClient(http, "state:1", budget(), budget(), 1000), valueBytes, "s/room/a")
    }

    @Test
    fun `a list goes in as many partitions as fit, and only those that have changed are written again`() =
        runTest {
            val partitions = partitions()
            val write =
                suspend {
                    partitions.write(machines, 100, { _, names -> names }) { _, names ->
                        ByteArray(names.size * 200)
                    }
                }
            write()
            assertTrue(partitions.partitionCount > 1)
            assertTrue(sent.all { it < valueBytes }, "$sent")
            val first = sent.size
            write()
            assertEquals(first, sent.size)
            partitions.forgetWritten()
            write()
            assertEquals(first * 2, sent.size)
        }

    /** Found with 4,000 workers: a summary that had fitted grew while it waited for its turn, and the state service refused
     * it as too large. Guard: it is measured again in [SummaryPartitions.write] when it leaves. */
    @Test
    fun `a partition that has grown beyond a value while it waited is left to the next time`() =
        runTest {
            val partitions = partitions()
            var encoded = 0
            val growing = { _: Int, _: List<String> -> ByteArray(if (encoded++ == 0) 100 else valueBytes) }
            partitions.write(machines.take(2), 100, { _, names -> names }, growing)
            assertEquals(emptyList<Int>(), sent)
            partitions.write(machines.take(2), 100, { _, names -> names }) { _, _ -> ByteArray(100) }
            assertEquals(1, sent.size, "it counts as not written")
        }
}
