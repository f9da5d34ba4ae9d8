package micatally.api

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import micatally.archive.RecordLookup
import micatally.state.RateBudget
import micatally.state.ReadResult
import micatally.state.Urgency

/**
 * Reads job records for users' queries. Users may send many times more queries than usual, also for jobs that nobody
 * submitted. The reads therefore keep to [budget], so that submissions, placements and leases still get their requests
 * to the state store. A read that would exceed [maxWaiting] is refused at once.
 *
 * Queries for the same job share a read until its request is sent. No query joins a read after that: its result may be
 * older than what another controller has told the user since.
 *
 * @param maxWaiting how many reads may wait for the budget at once
 * @param timeoutMs how long a read may take, including the wait for the budget
 */
class RecordReads(
    private val lookup: RecordLookup,
    private val budget: RateBudget,
    private val maxWaiting: Int,
    private val timeoutMs: Long,
) {
    private val unsentReads = HashMap<String, CompletableDeferred<ReadResult>>()

    /** Suspends until the job's record is read. Returns [ReadResult.Unavailable] if it can't be read in time. */
    suspend fun read(jobId: String): ReadResult {
        unsentReads[jobId]?.let { return it.await() }
        if (unsentReads.size >= maxWaiting) return ReadResult.Unavailable
        val sharedResult = CompletableDeferred<ReadResult>()
        unsentReads[jobId] = sharedResult
        try {
            val result =
                withTimeoutOrNull(timeoutMs) { readWithinBudget(jobId) { unsentReads.remove(jobId, sharedResult) } }
                    ?: ReadResult.Unavailable
            sharedResult.complete(result)
            return result
        } finally {
            unsentReads.remove(jobId, sharedResult)
            sharedResult.complete(ReadResult.Unavailable)
        }
    }

    private suspend fun readWithinBudget(
        jobId: String,
        onSend: () -> Unit,
    ): ReadResult {
        budget.take(1, Urgency.ACCEPTANCE)
        return lookup.read(jobId, Urgency.ACCEPTANCE, { budget.take(1, Urgency.ACCEPTANCE) }, onSend)
    }
}
