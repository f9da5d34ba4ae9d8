package micatally.membership

import kotlinx.coroutines.delay
import micatally.state.StateStoreClient
import micatally.state.Urgency

/** Which keys a [SharedKeyWatcher] watches, and the parameters of its requests. */
internal class WatchedKeys(
    val prefix: String,
    /** How long the state store may hold a watch open while nothing changes, in ms. */
    val holdMs: Long,
    /** The shortest time between the start of two watches, in ms. */
    val minIntervalMs: Long,
    val urgency: Urgency,
)

/**
 * Keeps [cache] up to date with the keys under a prefix. Lists the keys once, then watches them for changes. Lists them
 * again when the state store no longer keeps the history that a watch needs.
 *
 * @param onUpdate called after each answer that was applied to the cache, also if nothing changed. Receives the keys
 * that changed and the time when the request was sent, in ms. The cache contains every change that was made before that
 * time
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
    private var lastWatchSentAtMs = Long.MIN_VALUE / 2

    /** Keeps the cache up to date. Never returns. */
    suspend fun run() {
        while (true) {
            val isAnswered = if (needsListing || cache.revision < 0) list() else watch()
            if (!isAnswered) delay(retryDelay.nextMs())
        }
    }

    /** Reads all keys now, independently of [run]. Returns whether the read succeeded. */
    suspend fun refresh(): Boolean {
        val sentAtMs = nowMs()
        val listing = state.list(keys.prefix, keys.urgency) ?: return false
        onUpdate(cache.load(listing), sentAtMs)
        return true
    }

    private suspend fun list(): Boolean {
        if (!refresh()) return false
        needsListing = false
        return true
    }

    private suspend fun watch(): Boolean {
        awaitNextWatch()
        val sentAtMs = nowMs()
        lastWatchSentAtMs = sentAtMs
        val answer = state.watch(keys.prefix, cache.revision, keys.holdMs, keys.urgency) ?: return false
        if (answer.isCompacted) {
            needsListing = true
        } else {
            onUpdate(cache.apply(answer), sentAtMs)
        }
        return true
    }

    /**
     * Waits until [WatchedKeys.minIntervalMs] has passed since the last watch was sent. Each change ends the watches of
     * all controllers. During frequent changes several of them are therefore read by one watch. Otherwise the watches
     * alone would use up this controller's share of requests, and all its other reads and writes would wait behind
     * them.
     */
    private suspend fun awaitNextWatch() {
        val remainingMs = lastWatchSentAtMs + keys.minIntervalMs - nowMs()
        if (remainingMs > 0) delay(remainingMs)
    }
}
