package micatally.state

import kotlinx.serialization.json.JsonObject

class Compare(
    val key: String,
    val modRevision: Long,
)

sealed interface Write {
    val key: String
}

class Put(
    override val key: String,
    val value: JsonObject,
    val lease: Long? = null,
) : Write

class Delete(
    override val key: String,
) : Write

class Transaction(
    val conditions: List<Compare>,
    val changes: List<Write>,
)
