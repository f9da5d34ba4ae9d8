package micatally.state

import kotlinx.serialization.json.JsonObject

class WatchEvents(
    val revision: Long,
    val events: List<WatchEvent>,
    val isCompacted: Boolean = false,
)

class WatchEvent(
    val key: String,
    val value: JsonObject?,
    val modRevision: Long,
)
