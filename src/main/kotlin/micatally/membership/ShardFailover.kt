package micatally.membership

import kotlinx.coroutines.delay
import micatally.settings.Settings
import kotlin.random.Random

/** Decides when this controller acquires its own shard, and the orphaned shards of other controllers. */
internal class ShardFailover(
    private val settings: Settings,
    private val sharedKeys: SharedKeyCache,
    private val acquisition: ShardAcquisition,
    private val lease: ControllerLease,
    private val leadership: Leadership,
    private val random: Random,
    private val nowMs: () -> Long,
) {
    /** The shortest time for which a shard must have been seen orphaned before it is acquired, in ms. */
    private val orphanDelayMs = settings.liveMs / CHECKS_PER_TTL

    /**
     * By shard: when it was first seen orphaned, plus a random offset of up to [orphanDelayMs]. The offset prevents all
     * controllers from trying to acquire the shard at the same time.
     */
    private val orphanedSince = HashMap<String, Long>()

    /** When this process first saw that it does not lead its own shard any more; null while it leads the shard. */
    private var ownShardLostAt: Long? = null

    /**
     * Acquires this controller's own shard, then checks all shards periodically. Never returns. To be called when this
     * controller has a lease.
     */
    suspend fun run() {
        while (!acquisition.acquire(settings.host, "start")) {
            delay(
                random.nextLong(settings.liveMs / START_RETRIES_PER_TTL),
            )
        }
        while (true) {
            delay(settings.liveMs / CHECKS_PER_TTL)
            val isViewOutdated = leadership.viewAgeMs > settings.liveMs / 2
            if (!lease.holds() || isViewOutdated) {
                orphanedSince.clear()
                continue
            }
            val now = nowMs()
            reacquireOwnShard(now)
            acquireOrphanedShards(now)
        }
    }

    /**
     * Acquires this controller's own shard again if another controller acquired it while this one was cut off. Waits
     * until half the time to live of a lease has passed since the loss was seen.
     */
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

    private suspend fun acquireOrphanedShards(now: Long) {
        for (shard in sharedKeys.shards()) {
            val leader = sharedKeys.leader(shard) ?: continue
            if (!acquisition.isOrphaned(shard, leader)) {
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
        /**
         * A lease's time to live divided by this number is the longest delay before a failed acquisition of the own
         * shard is retried. It is short because most attempts fail when all controllers start at once: each acquisition
         * raises the fencing token, and the others are conditional on the token.
         */
        const val START_RETRIES_PER_TTL = 50

        /** How often per time to live of a lease the shards are checked. */
        const val CHECKS_PER_TTL = 16
    }
}
