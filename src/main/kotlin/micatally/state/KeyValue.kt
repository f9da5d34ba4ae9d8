package micatally.state

import kotlinx.serialization.json.JsonObject

class KeyValue(
    val key: String,
    val value: JsonObject,
    val modRevision: Long,
)
