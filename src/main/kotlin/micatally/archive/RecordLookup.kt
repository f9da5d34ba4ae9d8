package micatally.archive

import micatally.membership.Keys
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import micatally.state.Urgency

/**
 * Reads a job's record, archived or not. A record moves from `job/` to `final/` in one transaction and is never deleted there,
 * so one that the first read misses since it was just moved is found by the second.
 */
class RecordLookup(
    private val state: StateStoreClient,
    private val mayBeArchived: () -> Boolean,
) {
    /**
     * Suspends until the record is read from one place or the other.
     *
     * @param beforeSecond runs before the second request, where one is needed
     * @param onSend runs when the first request is sent: questions asked after that may be about something newer than the result
     */
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
