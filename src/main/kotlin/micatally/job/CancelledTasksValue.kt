package micatally.job

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import micatally.wire.CancelledTask
import micatally.wire.asLong
import micatally.wire.asText
import micatally.wire.listOrNull

/**
 * Encodes the stored list of a cancelled job's tasks that are not proven to have ended. It is one of the shared keys,
 * so that every controller learns of it.
 */
object CancelledTasksValue {
    private const val ROWS = "tasks"

    fun encode(tasks: List<CancelledTask>): JsonObject =
        JsonObject(
            mapOf(
                ROWS to
                    JsonArray(
                        tasks.map {
                            JsonArray(
                                listOf(
                                    JsonPrimitive(it.machine),
                                    JsonPrimitive(it.taskIndex),
                                    JsonPrimitive(it.attempt),
                                ),
                            )
                        },
                    ),
            ),
        )

    /** Decodes the list of the job's cancelled tasks from [value], which must be unpacked ([RecordPacking.unpack]). */
    fun decode(
        jobId: String,
        value: JsonObject,
    ): List<CancelledTask> =
        (value.listOrNull(ROWS) ?: emptyList()).map {
            val row = it as JsonArray
            CancelledTask(row[0].asText(), jobId, row[1].asLong().toInt(), row[2].asLong())
        }
}
