package micatally.upgrade

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.int
import kotlinx.serialization.json.long

/** Reads job records as a program does that knows only [FormatVersion.FIRST]: it reads no other fields than these. */
class Format1Record(
    private val stored: JsonObject,
) {
    private fun text(name: String) = (stored.getValue(name) as JsonPrimitive).content

    val shard get() = text("l")
    val state get() = text("e")
    val tasks get() = text("k").toInt()
    val term get() = text("c")
    val isSettled get() = state != "o" && stored["a"] == null
    val isCancellationConfirmable get() = state != "w" || stored["a"] == null || stored["x"] != null
    val nextAttempt get() = (stored["n"] as? JsonPrimitive)?.long ?: 1L

    val done: List<Int> get() =
        (stored["d"] as? JsonArray ?: JsonArray(emptyList()))
            .map { (it as JsonPrimitive).int }
            .chunked(2)
            .flatMap { (from, to) -> from until to }

    /** Machine, incarnation, task index and attempt number of each attempt. */
    val attempts: List<List<Any>> get() =
        (stored["a"] as? JsonArray ?: JsonArray(emptyList())).flatMap { row ->
            val fields = (row as JsonArray).map { it as JsonPrimitive }
            (6 until fields.size step 2).map {
                listOf(
                    fields[0].content,
                    fields[1].long,
                    fields[it].int,
                    fields[it + 1].long,
                )
            }
        }
}

/**
 * Reads a list of cancelled tasks as a program does that knows only [FormatVersion.FIRST]: machine, task index and
 * attempt number of each row.
 */
fun decodeFormat1CancelledTasks(stored: JsonObject): List<List<Any>> =
    (stored["tasks"] as? JsonArray ?: JsonArray(emptyList())).map { row ->
        val fields = (row as JsonArray).map { it as JsonPrimitive }
        listOf(fields[0].content, fields[1].int, fields[2].long)
    }
