package micatally.job

import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import micatally.emulator.StateStoreEmulator
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.Outcome
import micatally.membership.Keys
import micatally.membership.ShardLeader
import micatally.state.RateBudget
import micatally.state.StateStoreClient
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against a load that keeps the records of all jobs in memory, also of those that were over long ago. With
 * 87,000 jobs, those of three days at the target size, every controller ran out of memory before its shard was loaded,
 * and no task was started.
 */
class ShardRecordsTest {
    private val own = JobShard("own", ShardLeader("own", "p", 1, 1))

    private fun record(
        shard: String,
        state: String,
        vararg more: Pair<String, Int>,
    ) = JsonObject(
        mapOf("l" to JsonPrimitive(shard), "e" to JsonPrimitive(state), "k" to JsonPrimitive(2)) +
            more.associate { (name, value) -> name to JsonPrimitive(value) },
    )

    private class Read(
        val kept: List<ShardRecord>?,
        val settled: Int,
        val largestAnswer: Int,
    )

    private fun read(
        records: Map<String, JsonObject>,
        refuseFrom: Int = Int.MAX_VALUE,
    ): Read {
        lateinit var read: Read
        runTest {
            val service = StateStoreEmulator(nowMs = { testScheduler.currentTime })
            service.preload(records.mapKeys { Keys.job(it.key) })
            var answers = 0
            var largest = 0
            val http =
                HttpCaller { _, method, target, body, _ ->
                    if (answers++ >= refuseFrom) return@HttpCaller Outcome.NoResponse
                    val response = service.handle(HttpRequest(method, target, body ?: ByteArray(0)))
                    largest = maxOf(largest, response.body.size)
                    Outcome.Answer(response.status, response.body)
                }
            val budget = RateBudget(backgroundScope, 10_000.0, { testScheduler.currentTime })
            var settled = 0
            val kept =
                ShardRecords(
                    StateStoreClient(http, "state", budget, budget, 500),
                ).read(own) { _, _ -> settled++ }
            read = Read(kept, settled, largest)
        }
        return read
    }

    @Test
    fun `records of jobs that are over are not kept, and those that need action are`() {
        val over = (0 until 4000).associate { "j-1%05d".format(it) to record(if (it % 2 == 0) "own" else "other", "d") }
        val open =
            mapOf(
                "j-2" to record("own", "o"),
                "j-3" to record("other", "o"),
                "j-4" to record("other", "w"),
                "j-5" to JsonObject(record("other", "w") + ("a" to JsonArray(emptyList()))),
            )
        val read = read(over + open)
        assertEquals(listOf("j-2", "j-5"), read.kept!!.map { it.jobId }.sorted())
        assertEquals(2000, read.settled)
        assertTrue(read.largestAnswer < 100_000, "${read.largestAnswer} bytes at once")
    }

    @Test
    fun `a load fails if one page can't be read`() {
        val records = (0 until 1200).associate { "j-1%05d".format(it) to record("own", "o") }
        assertNull(read(records, refuseFrom = 2).kept)
        assertEquals(1200, read(records).kept!!.size)
    }
}
