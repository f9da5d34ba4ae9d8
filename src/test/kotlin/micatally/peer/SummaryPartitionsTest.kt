package micatally.peer

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.state.RateBudget
import micatally.state.StateStoreClient
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

@OptIn(ExperimentalCoroutinesApi::class)
class SummaryPartitionsTest {
    private val valueBytes = 2048
    private val writtenSizes = ArrayList<Int>()
    private val machines = List(20) { "m-%06d".format(it) }

    private var losesWrites = false

    private fun TestScope.partitions(): SummaryPartitions {
        val http =
            HttpCaller { _, _, _, body, _ ->
                if (losesWrites) return@HttpCaller Outcome.NoResponse
                writtenSizes.add(body!!.size)
                Outcome.Answer(200, "{\"odometer\":1}".encodeToByteArray())
            }

        fun budget() = RateBudget(backgroundScope, 100.0, { testScheduler.currentTime })
        return SummaryPartitions(StateStoreClient(http, "state:1", budget(), budget(), 1000), valueBytes, "s/room/a")
    }

    @Test
    fun `a list is split until each partition fits, and only changed partitions are written again`() =
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
            assertTrue(writtenSizes.all { it < valueBytes }, "$writtenSizes")
            val firstWrites = writtenSizes.size
            write()
            assertEquals(firstWrites, writtenSizes.size)
            partitions.forgetWritten()
            write()
            assertEquals(firstWrites * 2, writtenSizes.size)
        }

    /** Guards the return value: a summary of which a write was lost counted as published until it changed again. */
    @Test
    fun `a list is complete only once all its partitions are stored`() =
        runTest {
            val partitions = partitions()
            val write: suspend (Int) -> Boolean =
                { maxWrites: Int ->
                    partitions.write(machines, maxWrites, { _, names -> names }) { _, names ->
                        ByteArray(names.size * 200)
                    }
                }
            losesWrites = true
            assertFalse(write(100))
            losesWrites = false
            assertFalse(write(1))
            assertTrue(write(100))
            assertTrue(write(0))
        }

    /**
     * With 4,000 workers a summary that fitted in a value grew while its request waited, and the state store refused it
     * as too large. [SummaryPartitions.write] therefore checks the size again when the request is sent.
     */
    @Test
    fun `a partition that outgrows a value while its request waits is left to the next write`() =
        runTest {
            val partitions = partitions()
            var encoded = 0
            val growing = { _: Int, _: List<String> -> ByteArray(if (encoded++ == 0) 100 else valueBytes) }
            partitions.write(machines.take(2), 100, { _, names -> names }, growing)
            assertEquals(emptyList<Int>(), writtenSizes)
            partitions.write(machines.take(2), 100, { _, names -> names }) { _, _ -> ByteArray(100) }
            assertEquals(1, writtenSizes.size, "it counts as not written")
        }
}
