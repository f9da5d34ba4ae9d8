package micatally.api

import micatally.http.HttpResponse
import micatally.http.errorResponse
import micatally.wire.JobAnswer
import micatally.wire.PeerJobResponse
import micatally.wire.bytes

internal const val OK = 200
internal const val CREATED = 201
internal const val BAD_REQUEST = 400
internal const val NOT_FOUND = 404

/** Status code of the protocol: the worker is to report to another controller. */
internal const val MISDIRECTED = 421

/** Status code of the protocol: the job can never run. */
internal const val UNPROCESSABLE = 422
private const val SERVICE_UNAVAILABLE = 503
private const val RETRY_AFTER_S = 1

/**
 * The response to a request that can't be decided now. The request is not held until it can be, so the response tells
 * the client when to retry.
 */
internal fun unavailable(reason: String) = errorResponse(SERVICE_UNAVAILABLE, reason, RETRY_AFTER_S)

internal fun lookupUnavailable() = unavailable("the job can't be looked up now")

internal fun noSuchJob() = errorResponse(NOT_FOUND, "no such job")

/** The response with the job's status and the counts of its done and running tasks. */
internal fun fullStatus(answer: JobAnswer) = HttpResponse(OK, answer.json().bytes())

/** The response with the job's status only. */
internal fun briefStatus(answer: JobAnswer) = HttpResponse(OK, answer.brief().bytes())

/** The job's status as a response to another controller. [answer] is null if this controller can't tell the status. */
internal fun peerResponse(answer: JobAnswer?): PeerJobResponse {
    if (answer == null) return PeerJobResponse()
    return PeerJobResponse(true, answer.status, answer.doneCount, answer.runningCount)
}
