package micatally.state

import kotlinx.serialization.json.JsonObject

/**
 * A condition of a [Transaction]: [key] was last written at [modRevision].
 *
 * @property modRevision 0 if the key must not exist
 */
class Compare(
    val key: String,
    val modRevision: Long,
)

/** A change of one key in a [Transaction]. */
sealed interface Write {
    val key: String
}

/**
 * Writes [value] under [key].
 *
 * @property lease the lease that the key is bound to: the key is deleted when the lease expires; null if it is not
 * bound to one
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

/** Changes that are applied atomically, and only if all [conditions] hold at that time. */
class Transaction(
    val conditions: List<Compare>,
    val changes: List<Write>,
)
