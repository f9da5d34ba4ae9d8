package micatally.api

import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.wire.PeerJobResponse

/** The requests of users, and those that other controllers send on behalf of their users. */
class UserApi(
    private val healthCheck: HealthCheck,
    private val submissions: SubmissionHandler,
    private val queries: QueryHandler,
    private val cancellations: CancellationHandler,
) {
    /** See [HealthCheck.health]. */
    fun health(): HttpResponse = healthCheck.health()

    /** See [SubmissionHandler.submit]. */
    suspend fun submit(request: HttpRequest): HttpResponse = submissions.submit(request)

    /** See [QueryHandler.query]. */
    suspend fun query(jobId: String): HttpResponse = queries.query(jobId)

    /** See [CancellationHandler.cancel]. */
    suspend fun cancel(jobId: String): HttpResponse = cancellations.cancel(jobId)

    /** See [QueryHandler.peerQuery]. */
    fun peerQuery(jobId: String): PeerJobResponse = queries.peerQuery(jobId)

    /** See [CancellationHandler.peerCancel]. */
    suspend fun peerCancel(jobId: String): PeerJobResponse = cancellations.peerCancel(jobId)
}
