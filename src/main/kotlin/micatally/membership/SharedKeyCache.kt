package micatally.membership

import kotlinx.serialization.json.JsonObject
import micatally.state.KeyValue
import micatally.state.Listing
import micatally.state.WatchEvents

/** This controller's copy of the keys under one prefix of the state store. */
class SharedKeyCache {
    private val items = HashMap<String, KeyValue>()

    /**
     * The revision of the state store that the copy shows: it contains every change up to that revision. Negative
     * before the first listing.
     */
    var revision = -1L
        private set

    /** The fencing token in this copy; 0 if there is none yet. */
    val fencingToken: Long get() = value(Keys.FENCING_TOKEN)?.let { FencingToken.decode(it) } ?: 0L

    /**
     * The revision at which [key] was last written; 0 if it does not exist. The conditions of a transaction use the
     * same numbers; see [micatally.state.Compare].
     */
    fun modRevision(key: String): Long = items[key]?.modRevision ?: 0L

    /** The value of [key], or null if it does not exist. */
    fun value(key: String): JsonObject? = items[key]?.value

    /** All keys that begin with [prefix], in no particular order. */
    fun under(prefix: String): List<KeyValue> = items.values.filter { it.key.startsWith(prefix) }

    /** Whether [key] exists. */
    fun has(key: String): Boolean = items.containsKey(key)

    /** The leader of [shard], or null if the shard has never been acquired. */
    fun leader(shard: String): ShardLeader? {
        val item = items[Keys.shard(shard)] ?: return null
        return ShardLeader.decode(item.value, item.modRevision)
    }

    /** The names of all shards. */
    fun shards(): List<String> = under(Keys.SHARD).map { it.key.removePrefix(Keys.SHARD) }

    /** The processes that have a lease. */
    fun liveProcesses(): Set<String> = under(Keys.LIVE).mapNotNull { LiveController.processOf(it.value) }.toSet()

    /** Whether a process of [host] has a lease. */
    fun isLive(host: String): Boolean = has(Keys.live(host))

    /** The process of [host] that has a lease, or null if there is none. */
    fun liveProcess(host: String): String? = value(Keys.live(host))?.let { LiveController.processOf(it) }

    /** Replaces the copy by [listing], unless the listing is older. Returns the keys that changed. */
    fun load(listing: Listing): Set<String> {
        if (listing.revision < revision) return emptySet()
        val listed = listing.items.associateBy { it.key }
        val changed = HashSet<String>()
        for (key in items.keys) {
            if (key !in listed) changed.add(key)
        }
        for ((key, item) in listed) {
            if (items[key]?.modRevision != item.modRevision) changed.add(key)
        }
        items.clear()
        items.putAll(listed)
        revision = listing.revision
        return changed
    }

    /** Applies the events of a watch, except those that the copy already contains. Returns the keys that changed. */
    fun apply(answer: WatchEvents): Set<String> {
        val changed = HashSet<String>()
        for (event in answer.events) {
            val isKnown = event.modRevision <= revision && modRevision(event.key) >= event.modRevision
            if (isKnown) continue
            val value = event.value
            if (value == null) {
                items.remove(event.key)
            } else {
                items[event.key] = KeyValue(event.key, value, event.modRevision)
            }
            changed.add(event.key)
        }
        if (answer.revision > revision) revision = answer.revision
        return changed
    }
}
