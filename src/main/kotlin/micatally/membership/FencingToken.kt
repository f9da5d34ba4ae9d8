package micatally.membership

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.wire.longOrNull

/** Encodes and decodes the fencing token as it is stored under [Keys.FENCING_TOKEN]. */
internal object FencingToken {
    private const val NUMBER = "n"

    fun encode(token: Long): JsonObject = buildJsonObject { put(NUMBER, token) }

    /** Returns the stored token, or null if [value] has no such field. */
    fun decode(value: JsonObject): Long? = value.longOrNull(NUMBER)
}
