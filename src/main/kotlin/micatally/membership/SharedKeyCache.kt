package micatally.membership

import kotlinx.serialization.json.JsonObject
import micatally.state.KeyValue
import micatally.state.Listing
import micatally.state.WatchEvents

/** This controller's copy of the keys under one prefix of the state store, always as of one revision. */
class SharedKeyCache {
    private val items = HashMap<String, KeyValue>()

    /** The state store's revision that the copy shows; negative before the first listing. */
    var revision = -1L
        private set

    /** The newest fencing token in this copy; 0 before the first one. */
    val fencingToken: Long get() = value(Keys.FENCING_TOKEN)?.let { FencingToken.decode(it) } ?: 0L

    /** The revision at which [key] was last written; 0 if it does not exist, as the conditions of a transaction want it. */
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

    /** Whether a process of [host] has a lease. */
    fun isLive(host: String): Boolean = has(Keys.live(host))

    /** The process of [host] that has a lease, or null if there is none. */
    fun liveProcess(host: String): String? = value(Keys.live(host))?.let { LiveController.processOf(it) }

    /** Replaces the copy by [listing] unless that is older; returns the keys that differ. */
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

    /** Takes in the events of a watch, except for those that the copy already contains; returns the keys that changed. */
    fun apply(news: WatchEvents): Set<String> {
        val changed = HashSet<String>()
        for (event in news.events) {
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
        if (news.revision > revision) revision = news.revision
        return changed
    }
}
