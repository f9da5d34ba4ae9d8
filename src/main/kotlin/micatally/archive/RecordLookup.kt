package micatally.archive

import micatally.membership.Keys
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import micatally.state.Urgency

/**
 * Reads a job's record wherever it is. A record moves from `job/` to `final/` in one transaction and is never taken from
 * there, so one that is missed by the first read is found by the second.
 */
class RecordLookup(
    private val state: StateStoreClient,
    private val mayBeArchived: () -> Boolean,
) {
    /** @param onSend runs when the first request leaves: what is asked from then on may be newer than the answer
     * @param beforeSecond runs before the second request, where one is needed */
    suspend fun read(
        jobId: String,
        urgency: Urgency,
        beforeSecond: suspend () -> Unit = {},
        onSend: () -> Unit = {},
    ): ReadResult {
        val open = state.get(Keys.job(jobId), urgency, onSend)
        if (open !is ReadResult.Missing || !mayBeArchived()) return open
        beforeSecond()
        return state.get(Keys.final(jobId), urgency)
    }
}
