package micatally.archive

import micatally.membership.Keys
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import micatally.state.Urgency

/**
 * Reads a job's record from `job/` or, if it may be archived, from `final/`. A record is moved by one transaction, and
 * is never deleted from `final/`. So a record that was moved just before the first read is found by the second one.
 */
class RecordLookup(
    private val state: StateStoreClient,
    private val mayBeArchived: () -> Boolean,
) {
    /**
     * Reads the record from the state store.
     *
     * @param beforeSecond runs before the second request, if one is needed
     * @param onSend runs when the first request is sent. The result may be older than what is written from then on, so
     * it must not answer queries that arrive later
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
