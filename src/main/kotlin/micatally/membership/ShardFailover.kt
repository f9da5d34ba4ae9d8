package micatally.membership

import kotlinx.coroutines.delay
import micatally.settings.Settings
import kotlin.random.Random

/** Decides when to acquire this controller's own shard, and the shards of controllers whose lease has expired. */
internal class ShardFailover(
    private val settings: Settings,
    private val sharedKeys: SharedKeyCache,
    private val acquisition: ShardAcquisition,
    private val lease: ControllerLease,
    private val leadership: Leadership,
    private val random: Random,
    private val nowMs: () -> Long,
) {
    /** How long a controller watches an orphaned shard before it acquires it. */
    private val orphanDelayMs = settings.liveMs / CHECKS_PER_LIVE_TIME

    /** Since when a shard has been seen without a live leader, plus a random offset that keeps the controllers apart. */
    private val orphanedSince = HashMap<String, Long>()
    private var ownShardLostAt: Long? = null

    /** Acquires this controller's own shard, then looks after all shards; does not return. To be called with a lease. */
    suspend fun run() {
        while (!acquisition.acquire(settings.host, "start")) {
            delay(
                random.nextLong(settings.liveMs / START_RETRIES_PER_LIVE_TIME),
            )
        }
        while (true) {
            delay(settings.liveMs / CHECKS_PER_LIVE_TIME)
            val isViewOutdated = leadership.viewAgeMs > settings.liveMs / 2
            if (!lease.holds() || isViewOutdated) {
                orphanedSince.clear()
                continue
            }
            val now = nowMs()
            reacquireOwnShard(now)
            acquireOrphans(now)
        }
    }

    /** A shard that was lost while this controller was cut off is acquired again after half a lease of steady contact. */
    private suspend fun reacquireOwnShard(now: Long) {
        if (acquisition.isLeader(settings.host)) {
            ownShardLostAt = null
            return
        }
        val lostAt = ownShardLostAt ?: now.also { ownShardLostAt = now }
        if (now - lostAt <= settings.liveMs / 2) return
        ownShardLostAt = null
        acquisition.acquire(settings.host, "lost while cut off")
    }

    private suspend fun acquireOrphans(now: Long) {
        for (shard in sharedKeys.shards()) {
            val leader = sharedKeys.leader(shard) ?: continue
            if (!acquisition.isOrphan(shard, leader)) {
                orphanedSince.remove(shard)
                continue
            }
            val since = orphanedSince.getOrPut(shard) { now + random.nextLong(orphanDelayMs) }
            if (now - since > orphanDelayMs) {
                orphanedSince.remove(shard)
                acquisition.acquire(shard, "its leader ${leader.host} is dead", leader)
            }
        }
    }

    private companion object {
        /** At a common start of all controllers each raises the fencing token, so most attempts fail and are repeated soon. */
        const val START_RETRIES_PER_LIVE_TIME = 50
        const val CHECKS_PER_LIVE_TIME = 16
    }
}
