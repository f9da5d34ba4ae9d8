package micatally.api

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import micatally.archive.RecordLookup
import micatally.state.RateBudget
import micatally.state.ReadResult
import micatally.state.Urgency

/**
 * Reads of job records for users' queries. Users may ask many times as often as usual, also for jobs that nobody submitted; the
 * reads then keep to [budget], so that submissions, placements and leases still get their requests, and what can't be read soon is
 * refused at once.
 *
 * Queries for one job share a read as long as it has not left. One that has left may see a state from before what its user was
 * told by another controller meanwhile, so no other query joins it.
 *
 * @param maxWaiting how many reads may wait for the budget at once
 * @param timeoutMs how long a read may take, with its wait for the budget
 */
class RecordReads(
    private val lookup: RecordLookup,
    private val budget: RateBudget,
    private val maxWaiting: Int,
    private val timeoutMs: Long,
) {
    private val notSent = HashMap<String, CompletableDeferred<ReadResult>>()

    /** Suspends until the job's record is read; [ReadResult.Unavailable] if that can't be done in time. */
    suspend fun read(jobId: String): ReadResult {
        notSent[jobId]?.let { return it.await() }
        if (notSent.size >= maxWaiting) return ReadResult.Unavailable
        val shared = CompletableDeferred<ReadResult>()
        notSent[jobId] = shared
        try {
            val result =
                withTimeoutOrNull(timeoutMs) { readWithinBudget(jobId) { notSent.remove(jobId, shared) } }
                    ?: ReadResult.Unavailable
            shared.complete(result)
            return result
        } finally {
            notSent.remove(jobId, shared)
            shared.complete(ReadResult.Unavailable)
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
