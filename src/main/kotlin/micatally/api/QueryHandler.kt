package micatally.api

import micatally.http.HttpResponse
import micatally.wire.JobSpec
import micatally.wire.PeerJobResponse

/** Users' polls. */
class QueryHandler(
    private val lookup: JobLookup,
    private val reads: RecordReads,
) {
    /** Answers 200 with the job's status, 404 if there is no such job, or 503 if that can't be said now. */
    suspend fun query(jobId: String): HttpResponse {
        if (!JobSpec.isValidId(jobId)) return noSuchJob()
        lookup.fromMemory(jobId)?.let { return fullStatus(it) }
        return when (val result = lookup.find(jobId) { reads.read(jobId) }) {
            is LookupResult.Known -> fullStatus(result.answer)
            LookupResult.Missing -> noSuchJob()
            LookupResult.Unclear -> lookupUnavailable()
        }
    }

    /** The same for another controller, from memory only. */
    fun peerQuery(jobId: String): PeerJobResponse = peerResponse(lookup.fromMemory(jobId))
}
