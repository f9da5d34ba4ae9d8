package micatally.state

import kotlinx.serialization.json.JsonObject

/**
 * A key of the state store with its value.
 *
 * @property modRevision the state store's revision at which the key was last written
 */
class KeyValue(
    val key: String,
    val value: JsonObject,
    val modRevision: Long,
)
