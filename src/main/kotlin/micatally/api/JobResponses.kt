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

/** The protocol: the worker is to report to another controller. */
internal const val MISDIRECTED = 421

/** The protocol: the job can never run. */
internal const val UNPROCESSABLE = 422
private const val SERVICE_UNAVAILABLE = 503
private const val RETRY_AFTER_S = 1

/** What can't be decided now is not held back, but answered with the time after which to come back. */
internal fun unavailable(why: String) = errorResponse(SERVICE_UNAVAILABLE, why, RETRY_AFTER_S)

internal fun lookupUnavailable() = unavailable("the job can't be looked up now")

internal fun noSuchJob() = errorResponse(NOT_FOUND, "no such job")

/** The job's status with the counts of its tasks. */
internal fun fullStatus(answer: JobAnswer) = HttpResponse(OK, answer.json().bytes())

/** The job's status alone. */
internal fun briefStatus(answer: JobAnswer) = HttpResponse(OK, answer.brief().bytes())

/** The same for another controller; null: this one can't tell. */
internal fun peerResponse(answer: JobAnswer?): PeerJobResponse {
    if (answer == null) return PeerJobResponse()
    return PeerJobResponse(true, answer.status, answer.doneCount, answer.runningCount)
}
