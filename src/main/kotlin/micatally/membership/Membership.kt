package micatally.membership

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.state.Urgency
import micatally.supervision.launchSupervised
import micatally.supervision.restartOnFailure
import kotlin.random.Random

/**
 * This controller's membership in the group of controllers: its lease at the state store, its copy of the shared keys,
 * and the shards that it leads. The parts are [ControllerLease], [SharedKeyWatcher], [Leadership],
 * [ShardAcquisition], [ShardFailover], [FencingTokenWriter] and [CatchUp].
 *
 * Not thread-safe: to be used on the controller's thread only.
 *
 * @param movesRecords whether this process moves finished jobs' records to the archive, as its live key announces
 */
class Membership(
    private val scope: CoroutineScope,
    private val settings: Settings,
    state: StateStoreClient,
    random: Random,
    nowMs: () -> Long,
    movesRecords: Boolean,
    conditions: MembershipConditions,
    private val listener: MembershipListener,
) {
    /** Identifies this process; see [LiveController.process]. */
    val process: String = java.lang.Long.toString(random.nextLong(1, Long.MAX_VALUE), PROCESS_NAME_RADIX)

    /** The copy of the keys under [Keys.PREFIX]. */
    val sharedKeys = SharedKeyCache()

    /** The copy of the keys under [Keys.SUMMARIES]: all controllers' capacity and heartbeat summaries. */
    val summaries = SharedKeyCache()

    private val retryDelay = RetryDelay(settings.liveMs, random)
    private val leadershipMonitor = Leadership(settings, sharedKeys, conditions, nowMs)
    private val controllerLease =
        ControllerLease(
            settings,
            state,
            sharedKeys,
            LiveController(process, movesRecords),
            conditions,
            retryDelay,
            nowMs,
            ::refresh,
        )
    private val sharedKeyWatcher =
        SharedKeyWatcher(
            state,
            WatchedKeys(
                Keys.PREFIX,
                settings.leaseMs / SHARED_KEY_WATCHES_PER_LEASE,
                settings.watchEveryMs,
                Urgency.LEASE,
            ),
            sharedKeys,
            retryDelay,
            nowMs,
            ::sharedKeysUpdated,
        )
    private val summaryWatcher =
        SharedKeyWatcher(
            state,
            WatchedKeys(Keys.SUMMARIES, settings.leaseMs / 2, settings.watchEveryMs, Urgency.INTENT),
            summaries,
            retryDelay,
            nowMs,
        ) { changed, _ -> if (changed.isNotEmpty()) listener.summariesChanged(changed) }
    private val shardAcquisition = ShardAcquisition(settings.host, process, state, sharedKeys, ::refresh)
    private val failover =
        ShardFailover(settings, sharedKeys, shardAcquisition, controllerLease, leadershipMonitor, random, nowMs)
    private val fencingTokenWriter = FencingTokenWriter(state, sharedKeys)
    private val catchUp = CatchUp(scope, sharedKeys, retryDelay, ::refresh)

    /** The id of this controller's lease, or null while it has none. */
    val lease: Long? get() = controllerLease.id

    /** The leadership as of the last check; see [checkLeadership]. */
    val leadership: LeadershipState get() = leadershipMonitor.state

    /** Whether cancellations and the configuration permit starting tasks now; see [Leadership.mayStartTasks]. */
    val mayStart: Boolean get() = leadershipMonitor.mayStartTasks

    /** The time since the copy of the shared keys was last proven to be up to date, in ms. */
    val viewAgeMs: Long get() = leadershipMonitor.viewAgeMs

    /**
     * Since when this controller has been in contact with the others without interruption, through the state store or
     * with all of them directly; null while it is not. In ms on this controller's clock.
     */
    val contactSinceMs: Long? get() = leadershipMonitor.contactSinceMs

    /** Updates [leadership], which expires with time alone, and returns it. */
    fun checkLeadership(): LeadershipState = leadershipMonitor.check()

    /**
     * Whether this controller's lease is certainly still valid at the state store. While this is true, no other
     * controller can have acquired this controller's own shard.
     */
    fun leaseHolds(): Boolean = controllerLease.holds()

    /** Whether this process leads [shard] according to its copy of the shared keys. */
    fun holds(shard: String): Boolean = shardAcquisition.isLeader(shard)

    /** Starts the background coroutines. To be called once, when [listener] is ready for events. */
    fun start() {
        scope.launchSupervised("lease") { controllerLease.run() }
        scope.launchSupervised("shared key watch") { sharedKeyWatcher.run() }
        scope.launchSupervised("start of the leadership") { startLeading() }
    }

    /**
     * Waits for a lease and the first copy of the shared keys, begins the leadership, then acquires shards. Never
     * returns.
     *
     * Leadership begins before this controller has acquired its own shard: when all controllers start at once, that may
     * take a while, and the workers' leases must not expire meanwhile.
     */
    private suspend fun startLeading() {
        while (sharedKeys.revision < 0 || lease == null) delay(settings.liveMs / START_POLLS_PER_TTL)
        leadershipMonitor.begin()
        scope.launchSupervised("summary watch") { summaryWatcher.run() }
        restartOnFailure("shard failover") { failover.run() }
    }

    /** Acquires a shard; see [ShardAcquisition.acquire]. */
    suspend fun acquire(
        shard: String,
        why: String,
        previousLeader: ShardLeader? = null,
    ): Boolean = shardAcquisition.acquire(shard, why, previousLeader)

    /** Raises the fencing token alone; see [FencingTokenWriter.raise]. */
    suspend fun raiseFencingToken(why: String): Boolean = fencingTokenWriter.raise(why)

    /**
     * Reads the shared keys again because a worker knows a higher fencing token, then runs [continuation]. Returns at
     * once; see [CatchUp.request].
     */
    fun catchUp(continuation: () -> Unit) = catchUp.request(continuation)

    /** Reads the shared keys again. Returns when the copy is up to date or when the read has failed. */
    suspend fun refresh() {
        sharedKeyWatcher.refresh()
    }

    private fun sharedKeysUpdated(
        changed: Set<String>,
        provenAtMs: Long,
    ) {
        leadershipMonitor.viewProven(provenAtMs)
        controllerLease.checkLiveKey()
        if (changed.isNotEmpty()) listener.sharedKeysChanged(changed)
        leadershipMonitor.check()
    }

    private companion object {
        const val PROCESS_NAME_RADIX = 36
        const val SHARED_KEY_WATCHES_PER_LEASE = 10
        const val START_POLLS_PER_TTL = 200
    }
}
