package micatally.state

import kotlinx.serialization.json.JsonObject

/**
 * The answer to a watch.
 *
 * @property revision the revision from which the next watch continues
 * @property isCompacted whether the changes are no longer available, so that the keys have to be listed again
 */
class WatchEvents(
    val revision: Long,
    val events: List<WatchEvent>,
    val isCompacted: Boolean = false,
) {
    internal companion object {
        /** The answer to a watch from [revision] whose changes are not available. */
        fun compacted(revision: Long) = WatchEvents(revision, emptyList(), isCompacted = true)
    }
}

/** One change of a key; [value] is null if it was deleted. */
class WatchEvent(
    val key: String,
    val value: JsonObject?,
    val modRevision: Long,
)
