package micatally.wire

import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/**
 * A job as the simulated users of a load run submit it. [encode] writes the request body that [JobSpec.parse] reads.
 * Such a job is not bound to machine types or a zone, uses no spot instances, saves no checkpoints and has no deadline.
 *
 * @property format [Format.word] of the job
 * @property priority [Priority.word] of the job
 * @property resources resources that one task takes
 * @property imageGb size of the image, in gigabytes
 * @property scatter whether each zone may hold at most half of its tasks, rounded up
 * @property estimateS expected run time of one task, in seconds
 */
class JobSubmission(
    val jobId: String,
    val jobClass: String,
    val team: String,
    val format: String,
    val priority: String,
    val taskCount: Int,
    val resources: Resources,
    val image: String,
    val imageGb: Double,
    val scatter: Boolean,
    val estimateS: Double,
) {
    fun encode(): JsonObject =
        buildJsonObject {
            put("ref", jobId)
            put("lane", jobClass)
            put("crew", team)
            put("format", format)
            put("grid", priority)
            put("laps", taskCount)
            put("cores", resources.cores)
            put("cards", resources.gpus)
            put("ram_gb", resources.memoryGb)
            put("livery", image)
            put("size_gb", imageGb)
            put("chassis", JsonNull)
            put("circuit", JsonNull)
            put("together", false)
            put("scatter", scatter)
            put("loaners", false)
            put("lap_time_s", estimateS)
            put("sector_s", 0.0)
            put("pit_stop_s", 0.0)
            put("flag_s", JsonNull)
        }
}
