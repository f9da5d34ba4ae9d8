package micatally.state

import kotlinx.serialization.json.JsonObject

/** A condition of a [Transaction]: [key] was last written at [modRevision]; 0: it does not exist. */
class Compare(
    val key: String,
    val modRevision: Long,
)

/** A change of one key. */
sealed interface Write {
    val key: String
}

/**
 * Writes [value] under [key].
 *
 * @property lease the key is deleted when this lease expires; null: it stays
 */
class Put(
    override val key: String,
    val value: JsonObject,
    val lease: Long? = null,
) : Write

/** Deletes [key]. */
class Delete(
    override val key: String,
) : Write

/** Changes that are carried out together, and only if all conditions hold at that time. */
class Transaction(
    val conditions: List<Compare>,
    val changes: List<Write>,
)
