package micatally.job

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import micatally.wire.CancelledTask
import micatally.wire.asLong
import micatally.wire.asText
import micatally.wire.listOrNull

/** The value that lists the tasks of a cancelled job which are not proven terminated, for all controllers to watch. */
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

    /** The tasks in an unpacked [value] of the job. */
    fun decode(
        jobId: String,
        value: JsonObject,
    ): List<CancelledTask> =
        (value.listOrNull(ROWS) ?: emptyList()).map {
            val row = it as JsonArray
            CancelledTask(row[0].asText(), jobId, row[1].asLong().toInt(), row[2].asLong())
        }
}
