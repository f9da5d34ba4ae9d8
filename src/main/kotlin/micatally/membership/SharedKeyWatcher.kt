package micatally.membership

import kotlinx.coroutines.delay
import micatally.state.StateStoreClient
import micatally.state.Urgency

/** The keys that a [SharedKeyWatcher] watches, and how. */
internal class WatchedKeys(
    val prefix: String,
    /** How long the state store may hold a watch open when nothing changes, in milliseconds. */
    val holdMs: Long,
    /** Watches leave at least this far apart, in milliseconds. */
    val minIntervalMs: Long,
    val urgency: Urgency,
)

/**
 * Keeps [cache] a copy of the keys under a prefix: lists them once, then watches for changes, and lists them again when the
 * state store no longer keeps the history that a watch needs.
 *
 * @param onUpdate called after each answer that the cache has taken in, also when nothing changed, with the keys that changed
 * and the time when the request left. The cache held every change that was made before that time.
 */
internal class SharedKeyWatcher(
    private val state: StateStoreClient,
    private val keys: WatchedKeys,
    private val cache: SharedKeyCache,
    private val retryDelay: RetryDelay,
    private val nowMs: () -> Long,
    private val onUpdate: (changed: Set<String>, provenAtMs: Long) -> Unit,
) {
    private var needsListing = true
    private var watchedAt = Long.MIN_VALUE / 2

    /** Keeps the copy up to date; does not return. */
    suspend fun run() {
        while (true) {
            val isAnswered = if (needsListing || cache.revision < 0) list() else watch()
            if (!isAnswered) delay(retryDelay.nextMs())
        }
    }

    /** Reads all keys now, whatever [run] is doing; returns whether the state store answered. */
    suspend fun refresh(): Boolean {
        val sentAt = nowMs()
        val listing = state.list(keys.prefix, keys.urgency) ?: return false
        onUpdate(cache.load(listing), sentAt)
        return true
    }

    private suspend fun list(): Boolean {
        if (!refresh()) return false
        needsListing = false
        return true
    }

    private suspend fun watch(): Boolean {
        awaitNextWatch()
        val sentAt = nowMs()
        watchedAt = sentAt
        val news = state.watch(keys.prefix, cache.revision, keys.holdMs, keys.urgency) ?: return false
        if (news.isCompacted) {
            needsListing = true
        } else {
            onUpdate(cache.apply(news), sentAt)
        }
        return true
    }

    /**
     * Each change ends the watches of all controllers. While changes come fast they are taken together: otherwise the watches
     * alone would use up this controller's share of requests, and all its other reads and writes would wait behind them.
     */
    private suspend fun awaitNextWatch() {
        val pauseMs = watchedAt + keys.minIntervalMs - nowMs()
        if (pauseMs > 0) delay(pauseMs)
    }
}
