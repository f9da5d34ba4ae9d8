package micatally.wire

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/**
 * The status of a job. Sent to users in response to submissions, queries and cancellations.
 *
 * @property status [PENDING], [RUNNING], [DONE] or [CANCELLED]
 * @property doneCount number of completed tasks
 * @property runningCount number of running tasks
 */
data class JobAnswer(
    val jobId: String,
    val status: String,
    val doneCount: Int,
    val runningCount: Int,
) {
    /** The response body with all fields. */
    fun json() =
        buildJsonObject {
            put("ref", jobId)
            put("status", status)
            put("done", doneCount)
            put("running", runningCount)
        }

    /** The response body with the id and the status only. */
    fun brief() =
        buildJsonObject {
            put("ref", jobId)
            put("status", status)
        }

    /** The values of [status]. */
    companion object {
        const val PENDING = "pending"
        const val RUNNING = "running"
        const val DONE = "done"
        const val CANCELLED = "withdrawn"
    }
}
