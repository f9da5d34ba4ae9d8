package micatally.membership

import kotlinx.serialization.json.JsonObject
import micatally.state.KeyValue
import micatally.state.Listing
import micatally.state.WatchEvents
import micatally.wire.longOrNull
import micatally.wire.textOrNull

/** This node's copy of the shared keys, always as of one revision. */
class SharedKeyCache {
    private val items = HashMap<String, KeyValue>()
    var revision = -1L
        private set

    val fencingToken get() = items[Keys.FENCING_TOKEN]?.value?.longOrNull("n") ?: 0L

    fun modRevision(key: String) = items[key]?.modRevision ?: 0L

    fun value(key: String): JsonObject? = items[key]?.value

    fun under(prefix: String): List<KeyValue> = items.values.filter { it.key.startsWith(prefix) }

    fun has(key: String) = items.containsKey(key)

    fun leader(shard: String): ShardLeader? {
        val i = items[Keys.shard(shard)] ?: return null
        return ShardLeader(
            i.value.textOrNull("host") ?: "",
            i.value.textOrNull("process") ?: "",
            i.value.longOrNull("epoch") ?: 0,
            i.modRevision,
        )
    }

    fun shards(): List<String> = under(Keys.SHARD).map { it.key.removePrefix(Keys.SHARD) }

    fun isLive(host: String) = has(Keys.live(host))

    /** Takes a full listing; returns the keys that differ. */
    fun load(listing: Listing): Set<String> {
        if (listing.revision < revision) return emptySet()
        val fresh = listing.items.associateBy { it.key }
        val changed = HashSet<String>()
        for (k in items.keys) if (k !in fresh) changed.add(k)
        for ((k, i) in fresh) if (items[k]?.modRevision != i.modRevision) changed.add(k)
        items.clear()
        items.putAll(fresh)
        revision = listing.revision
        return changed
    }

    fun apply(news: WatchEvents): Set<String> {
        val changed = HashSet<String>()
        for (e in news.events) {
            if (e.modRevision <= revision && (items[e.key]?.modRevision ?: 0) >= e.modRevision) continue
            val value = e.value
            if (value == null) items.remove(e.key) else items[e.key] = KeyValue(e.key, value, e.modRevision)
            changed.add(e.key)
        }
        if (news.revision > revision) revision = news.revision
        return changed
    }
}
