package micatally.wire

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/**
 * The body of the response that redirects a worker to another controller.
 *
 * @param controller host of the controller to report to. If it is null, none is known, and the worker tries the other
 *   controllers in turn.
 */
fun redirectBody(controller: String?): JsonObject =
    buildJsonObject { if (controller != null) put("marshal", controller) }

/** The job id in a submission; null if it is missing or invalid. The other fields are not checked. */
fun submittedJobId(submission: JsonObject): String? {
    val jobId =
        try {
            submission.textOrNull("ref")
        } catch (_: MalformedMessage) {
            null
        }
    return jobId?.takeIf { JobSpec.isValidId(it) }
}
