package micatally.api

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import micatally.archive.RecordLookup
import micatally.state.RateBudget
import micatally.state.ReadResult
import micatally.state.Urgency

/**
 * Reads of job records for users' questions. Users may ask many times as often as usual, also for jobs that nobody submitted; the
 * reads then keep to [budget], so that submissions, placements and leases still get their requests, and what can't be read soon is
 * refused at once.
 *
 * Questions for one job share a read as long as it has not left. One that has left may see a state from before what its user was
 * told by another node meanwhile, so nobody joins it.
 */
class RecordReads(
    private val lookup: RecordLookup,
    private val budget: RateBudget,
    private val mostWaiting: Int,
    private val timeoutMs: Long,
) {
    private val notSent = HashMap<String, CompletableDeferred<ReadResult>>()

    suspend fun read(jobId: String): ReadResult {
        notSent[jobId]?.let { return it.await() }
        if (notSent.size >= mostWaiting) return ReadResult.Unavailable
        val answer = CompletableDeferred<ReadResult>()
        notSent[jobId] = answer
        try {
            val read =
                withTimeoutOrNull(timeoutMs) {
                    val withinBudget = suspend { budget.take(1, Urgency.ACCEPTANCE) }
                    withinBudget()
                    lookup.read(jobId, Urgency.ACCEPTANCE, { withinBudget() }) { notSent.remove(jobId, answer) }
                } ?: ReadResult.Unavailable
            answer.complete(read)
            return read
        } finally {
            notSent.remove(jobId, answer)
            answer.complete(ReadResult.Unavailable)
        }
    }
}
