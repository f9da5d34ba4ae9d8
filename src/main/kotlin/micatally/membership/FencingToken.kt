package micatally.membership

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.wire.longOrNull

/** Stored form of the fencing token, the value of [Keys.FENCING_TOKEN]. */
internal object FencingToken {
    private const val NUMBER = "n"

    fun encode(token: Long): JsonObject = buildJsonObject { put(NUMBER, token) }

    /** The stored token; null if the value names none. */
    fun decode(value: JsonObject): Long? = value.longOrNull(NUMBER)
}
