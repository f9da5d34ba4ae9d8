package micatally.api

import micatally.http.HttpResponse
import micatally.wire.JobSpec
import micatally.wire.PeerJobResponse

/** Handles users' queries for the status of a job. */
class QueryHandler(
    private val lookup: JobLookup,
    private val recordReads: RecordReads,
) {
    /** Returns 200 with the job's status, 404 if there is no such job, or 503 if the status can't be told now. */
    suspend fun query(jobId: String): HttpResponse {
        if (!JobSpec.isValidId(jobId)) return noSuchJob()
        lookup.fromMemory(jobId)?.let { return fullStatus(it) }
        return when (val result = lookup.find(jobId) { recordReads.read(jobId) }) {
            is LookupResult.Known -> fullStatus(result.answer)
            LookupResult.Missing -> noSuchJob()
            LookupResult.Unclear -> lookupUnavailable()
        }
    }

    /** Returns the job's status for another controller, from memory only. */
    fun peerQuery(jobId: String): PeerJobResponse = peerResponse(lookup.fromMemory(jobId))
}
