package micatally.membership

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.state.Urgency
import kotlin.random.Random

/**
 * This controller as a member of the group: its lease at the state store, its view of the shared keys, and the shards that it
 * leads. The parts are [ControllerLease], [SharedKeyWatcher], [Leadership], [ShardAcquisition],
 * [ShardFailover], [FencingTokenWriter] and [CatchUp].
 *
 * All members are to be used on the controller's thread only.
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
    /** Names this process, so that a restarted controller does not take its predecessor's entries for its own. */
    val process: String = java.lang.Long.toString(random.nextLong(1, Long.MAX_VALUE), PROCESS_NAME_RADIX)

    /** The copy of the keys under [Keys.PREFIX]. */
    val sharedKeys = SharedKeyCache()

    /** The copy of the keys under [Keys.SUMMARIES]: all controllers' capacity and heartbeat summaries. */
    val summaries = SharedKeyCache()

    private val retryDelay = RetryDelay(settings.liveMs, random)
    private val leadershipClock = Leadership(settings, sharedKeys, conditions, nowMs)
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
    private val shards = ShardAcquisition(settings.host, process, state, sharedKeys, ::refresh)
    private val failover =
        ShardFailover(settings, sharedKeys, shards, controllerLease, leadershipClock, random, nowMs)
    private val fencingTokenWriter = FencingTokenWriter(state, sharedKeys)
    private val catchUp = CatchUp(scope, sharedKeys, retryDelay, ::refresh)

    /** The id of this controller's lease, or null while it has none. */
    val lease: Long? get() = controllerLease.id

    /** The leadership as of the last check; see [checkLeadership]. */
    val leadership: LeadershipState get() = leadershipClock.state

    /** Whether a task may be started now, as far as cancellations and the configuration are concerned. */
    val mayStart: Boolean get() = leadershipClock.mayStartTasks

    /** Time since the view of the shared keys was last proven, in milliseconds. */
    val viewAgeMs: Long get() = leadershipClock.viewAgeMs

    /** Brings [leadership] up to date with the clock and returns it. */
    fun checkLeadership(): LeadershipState = leadershipClock.check()

    /** True while no other controller can have acquired this one's shards: its lease cannot have expired at the state store. */
    fun leaseHolds(): Boolean = controllerLease.holds()

    /** Whether this process leads [shard], as far as its view of the shared keys shows. */
    fun holds(shard: String): Boolean = shards.isLeader(shard)

    /** Starts all loops. To be called once, when the listener is ready for events. */
    fun start() {
        scope.launch { controllerLease.run() }
        scope.launch { sharedKeyWatcher.run() }
        scope.launch { lead() }
    }

    /**
     * Leadership does not wait for this controller's own shard: when all controllers start at once it may take a while to
     * acquire it, and the workers' leases must not expire meanwhile.
     */
    private suspend fun lead() {
        while (sharedKeys.revision < 0 || lease == null) delay(settings.liveMs / START_POLLS_PER_LIVE_TIME)
        leadershipClock.begin()
        scope.launch { summaryWatcher.run() }
        failover.run()
    }

    /** Acquires a shard; see [ShardAcquisition.acquire]. */
    suspend fun acquire(
        shard: String,
        why: String,
        former: ShardLeader? = null,
    ): Boolean = shards.acquire(shard, why, former)

    /** Raises the fencing token alone; see [FencingTokenWriter.raise]. */
    suspend fun raiseFencingToken(why: String): Boolean = fencingTokenWriter.raise(why)

    /** Reads the shared keys again because a worker knows a higher fencing token, then runs [then]; see [CatchUp.request]. */
    fun catchUp(then: () -> Unit) = catchUp.request(then)

    /** Reads the shared keys again. Returns when they are up to date, or when the state store did not answer. */
    suspend fun refresh() {
        sharedKeyWatcher.refresh()
    }

    private fun sharedKeysUpdated(
        changed: Set<String>,
        provenAtMs: Long,
    ) {
        leadershipClock.viewProven(provenAtMs)
        controllerLease.checkLiveKey()
        if (changed.isNotEmpty()) listener.sharedKeysChanged(changed)
        leadershipClock.check()
    }

    private companion object {
        const val PROCESS_NAME_RADIX = 36
        const val SHARED_KEY_WATCHES_PER_LEASE = 10
        const val START_POLLS_PER_LIVE_TIME = 200
    }
}
