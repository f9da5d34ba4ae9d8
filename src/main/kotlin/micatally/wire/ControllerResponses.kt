package micatally.wire

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/**
 * The body of the response that sends a worker to another controller.
 *
 * @param controller the host to report to; null if none is known, then the worker tries the others in turn
 */
fun redirectBody(controller: String?): JsonObject =
    buildJsonObject { if (controller != null) put("marshal", controller) }

/** The job id in a submission; null if there is none or if it is not a valid one. The other fields may be malformed. */
fun submittedJobId(submission: JsonObject): String? {
    val jobId =
        try {
            submission.textOrNull("ref")
        } catch (_: MalformedMessage) {
            null
        }
    return jobId?.takeIf { JobSpec.isValidId(it) }
}
