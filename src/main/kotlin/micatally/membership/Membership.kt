package micatally.membership

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.archive.ArchivePlan
import micatally.settings.Settings
import micatally.state.Compare
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.upgrade.FormatVersion
import micatally.upgrade.UpgradePlan
import micatally.wire.textOrNull
import org.slf4j.LoggerFactory
import kotlin.random.Random

/** Whether this node may answer workers' reports. */
enum class LeadershipState { STARTING, LEADING, EXPIRED }

/** Life of this node as the state service sees it: its lease, the shared keys, the shards that it holds. */
class Membership(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateStoreClient,
    val sharedKeys: SharedKeyCache,
    private val random: Random,
    private val nowMs: () -> Long,
    private val archives: Boolean = false,
) {
    private val log = LoggerFactory.getLogger("micatally.membership")

    /** Names this process, so that a restarted node does not mistake its predecessor's entries for its own. */
    val process: String = java.lang.Long.toString(random.nextLong(1, Long.MAX_VALUE), 36)
    var lease: Long? = null
        private set
    private var leaseProvenAt = Long.MIN_VALUE / 2

    /** The mark of this node's own live key; it goes with its lease and changes with nothing else. */
    private var liveModRevision = 0L
    private var viewProvenAt = Long.MIN_VALUE / 2
    private var started = false
    private val deadSince = HashMap<String, Long>()
    private var ownLostAt: Long? = null

    /** Up to when the other controllers themselves have told of every cancellation; see [micatally.peer.Peers]. */
    var peersConfirmedAt: () -> Long = { Long.MIN_VALUE / 2 }

    /** Whether another node can serve this one's shards better: then this one has no lease until they are taken, or it can again. */
    var shouldStepDown: () -> Boolean = { false }

    /** The summaries of all nodes, and who is told which of them have changed. */
    val summaries = SharedKeyCache()
    var onSummaries: (Set<String>) -> Unit = {}

    /** Told which shared keys have changed. */
    var onChange: (Set<String>) -> Unit = {}

    var leadership = LeadershipState.STARTING
        private set

    /** The one place where the node's right changes. */
    private fun transitionTo(
        next: LeadershipState,
        why: String,
    ) {
        if (leadership == next) return
        log.info("leadership {} -> {}: {} fencingToken={}", leadership, next, why, sharedKeys.fencingToken)
        leadership = next
    }

    /** Up to when this node is known to have heard of every cancellation that its users may have been told. */
    private val toldAt get() = maxOf(viewProvenAt, peersConfirmedAt())

    /** What else has to hold for a start; see [micatally.config.LiveConfiguration.mayStart]. */
    var startGate: () -> Boolean = { true }

    /** Whether a task may be started now. A cancellation that this node has neither seen nor confirmed was published after it
     * last knew of all, and is told [Settings.cancellationDelayMs] after that at the earliest: until then no start comes after it. */
    val mayStart get() = nowMs() - toldAt < settings.startBoundMs && startGate()

    val viewAgeMs get() = nowMs() - viewProvenAt

    /** Looks at the clock: a right lapses by time alone. */
    fun checkLeadership(): LeadershipState {
        when {
            !started -> {}
            nowMs() - toldAt > settings.leadershipMs ->
                transitionTo(
                    LeadershipState.EXPIRED,
                    "no proof of state contact for ${settings.leadershipMs} ms",
                )
            leadership != LeadershipState.LEADING -> transitionTo(LeadershipState.LEADING, "state contact")
        }
        return leadership
    }

    /** True while no other node can have taken this node's shards: its lease at the state service cannot have ended. */
    fun leaseHolds(): Boolean = lease != null && nowMs() < leaseProvenAt + settings.liveMs * 97 / 100

    fun holds(shard: String): Boolean =
        sharedKeys.leader(shard)?.let { it.host == settings.host && it.process == process } == true

    fun start() {
        scope.launch { leaseLoop() }
        scope.launch { viewLoop() }
        scope.launch { takeoverLoop() }
    }

    private suspend fun leaseLoop() {
        while (true) {
            val sent = nowMs()
            val held = lease
            if (shouldStepDown()) {
                if (held != null) stepDown(held)
                delay(pause())
                continue
            }
            if (held == null) {
                if (sharedKeys.revision < 0) {
                    delay(settings.liveMs / 200)
                    continue
                }
                val l = state.grant(settings.liveMs)
                if (l == null) {
                    delay(pause())
                    continue
                }
                // Conditional, or a copy that is carried out late, also one of a former process, would tie the key to a lease that
                // nobody renews: it would go while this node believes in its newer one. When the outcome is not known the lease
                // is given up, and what comes late then has none.
                val r =
                    state.transact(1, Urgency.LEASE) {
                        Transaction(
                            listOf(Compare(Keys.live(settings.host), sharedKeys.modRevision(Keys.live(settings.host)))),
                            listOf(
                                Put(
                                    Keys.live(settings.host),
                                    buildJsonObject {
                                        put("process", process)
                                        put(UpgradePlan.FORMAT_FIELD, FormatVersion.CURRENT)
                                        if (archives) put(ArchivePlan.LIVE_FIELD, 1)
                                    },
                                    l,
                                ),
                            ),
                        )
                    }
                if (r is TransactionResult.Applied) {
                    lease = l
                    leaseProvenAt = sent
                    liveModRevision = r.revision
                    log.info("live with lease {}", l)
                } else {
                    state.revoke(l)
                    if (r is TransactionResult.Failed || r is TransactionResult.Unknown) refresh()
                    delay(pause())
                }
                continue
            }
            when (state.renew(held)) {
                true -> {
                    leaseProvenAt = sent
                    delay(settings.liveMs / 4)
                }
                false -> {
                    log.info("lease {} has ended", held)
                    lease = null
                }
                null -> delay(pause())
            }
        }
    }

    /** The lease is ended here first and then at the state service: nothing is answered from memory from now on. Writes that are
     * under way are conditional on the shards' marks, which their next holder changes. */
    private suspend fun stepDown(held: Long) {
        log.info("lease {} given up: others reach the workers and this node does not", held)
        lease = null
        state.revoke(held)
    }

    private fun pause() = settings.liveMs / 32 + random.nextLong(settings.liveMs / 32)

    private suspend fun viewLoop() = follow(Keys.PREFIX, sharedKeys, settings.leaseMs / 10, Urgency.LEASE, ::seen)

    /** Keeps a copy of the keys under a prefix; [changed] hears which have changed, and when the question left. */
    private suspend fun follow(
        prefix: String,
        copy: SharedKeyCache,
        holdMs: Long,
        urgency: Urgency,
        changed: (Set<String>, Long) -> Unit,
    ) {
        var whole = true
        var watchedAt = Long.MIN_VALUE / 2
        while (true) {
            var sent = nowMs()
            if (whole || copy.revision < 0) {
                val l = state.list(prefix, urgency)
                if (l == null) {
                    delay(pause())
                    continue
                }
                whole = false
                changed(copy.load(l), sent)
                continue
            }
            // Each change ends the watches of all nodes. While changes come fast they are taken together, or the watches alone
            // would use up this node's requests, and every question and write of it would wait behind them.
            val pause = watchedAt + settings.watchEveryMs - sent
            if (pause > 0) {
                delay(pause)
                sent = nowMs()
            }
            watchedAt = sent
            val news = state.watch(prefix, copy.revision, holdMs, urgency)
            when {
                news == null -> delay(pause())
                news.isCompacted -> whole = true
                else -> changed(copy.apply(news), sent)
            }
        }
    }

    private fun seen(
        changed: Set<String>,
        provenAt: Long,
    ) {
        viewProvenAt = maxOf(viewProvenAt, provenAt)
        if (lease != null && sharedKeys.revision >= liveModRevision &&
            sharedKeys.modRevision(Keys.live(settings.host)) != liveModRevision
        ) {
            log.info("lease {}: the live key is not its own any more", lease)
            lease = null
        }
        if (changed.isNotEmpty()) onChange(changed)
        checkLeadership()
    }

    /** Takes the node's own shard at the start, and those of nodes whose lease has ended. */
    private suspend fun takeoverLoop() {
        while (sharedKeys.revision < 0 || lease == null) delay(settings.liveMs / 200)
        // The workers' leases do not wait for this node's own shard. When all nodes start at once each raises the fencing token,
        // so that most tries fail; they are repeated soon.
        started = true
        checkLeadership()
        scope.launch {
            follow(
                Keys.SUMMARIES,
                summaries,
                settings.leaseMs / 2,
                Urgency.INTENT,
            ) { keys, _ -> if (keys.isNotEmpty()) onSummaries(keys) }
        }
        while (!acquire(settings.host, "start")) delay(random.nextLong(settings.liveMs / 50))
        while (true) {
            delay(settings.liveMs / 16)
            if (!leaseHolds() || viewAgeMs > settings.liveMs / 2) {
                deadSince.clear()
                continue
            }
            val now = nowMs()
            if (!holds(settings.host)) {
                // Lost while cut off. Taken back when contact has been steady for a while.
                val since = ownLostAt ?: now.also { ownLostAt = now }
                if (now - since > settings.liveMs / 2) {
                    ownLostAt = null
                    acquire(settings.host, "taken back")
                }
            } else {
                ownLostAt = null
            }
            for (l in sharedKeys.shards()) {
                val h = sharedKeys.leader(l) ?: continue
                if (!isOrphan(l, h)) {
                    deadSince.remove(l)
                    continue
                }
                val since = deadSince.getOrPut(l) { now + random.nextLong(settings.liveMs / 16) }
                if (now - since >
                    settings.liveMs / 16
                ) {
                    deadSince.remove(l)
                    acquire(l, "its leader ${h.host} is dead", h)
                }
            }
        }
    }

    /** Whether the holder has ended: its host has no live key, or another process of it has, which does not know that the
     * former one had taken this shard over. Its own shard a new process acquires by itself. */
    private fun isOrphan(
        shard: String,
        h: ShardLeader,
    ): Boolean {
        val process = sharedKeys.value(Keys.live(h.host))?.textOrNull("process") ?: return true
        return process != h.process && shard != h.host
    }

    /**
     * One transaction: the shard's new holder and a raised fencing token, on the condition that neither has changed, and that the
     * [former] holder has not come back meanwhile, however late it is carried out: one that did answers from memory again.
     *
     * @param former the holder that was found dead. The shard's condition is the mark of that finding, not the one at the time
     * of the write: the shard may have passed to a holder that lives
     */
    suspend fun acquire(
        shard: String,
        why: String,
        former: ShardLeader? = null,
    ): Boolean {
        var fencingToken = 0L
        val r =
            state.transact(2, Urgency.LEASE) {
                val shardModRevision = sharedKeys.modRevision(Keys.shard(shard))
                if (former != null && (former.modRevision != shardModRevision || !isOrphan(shard, former))) {
                    return@transact null
                }
                fencingToken = sharedKeys.fencingToken + 1
                Transaction(
                    listOfNotNull(
                        Compare(Keys.FENCING_TOKEN, sharedKeys.modRevision(Keys.FENCING_TOKEN)),
                        Compare(Keys.shard(shard), shardModRevision),
                        former?.let { Compare(Keys.live(it.host), sharedKeys.modRevision(Keys.live(it.host))) },
                    ),
                    listOf(
                        Put(Keys.FENCING_TOKEN, buildJsonObject { put("n", fencingToken) }),
                        Put(
                            Keys.shard(shard),
                            buildJsonObject {
                                put("host", settings.host)
                                put("process", process)
                                put("epoch", fencingToken)
                            },
                        ),
                    ),
                )
            }
        if (r !is TransactionResult.Applied) {
            log.info("shard {} not acquired ({}): {}", shard, why, r::class.simpleName)
            // The view that the conditions came from was too old, or nobody knows the outcome: look again.
            refresh()
            return holds(shard)
        }
        log.info("shard {} acquired at fencing token {}: {}", shard, fencingToken, why)
        if (sharedKeys.revision < r.revision) refresh()
        return holds(shard)
    }

    /** Raises the fencing token alone: what was sent with a lower token can no longer be carried out where the new one is known. */
    suspend fun raiseFencingToken(why: String): Boolean {
        val r =
            state.transact(1, Urgency.LEASE) {
                Transaction(
                    listOf(Compare(Keys.FENCING_TOKEN, sharedKeys.modRevision(Keys.FENCING_TOKEN))),
                    listOf(
                        Put(
                            Keys.FENCING_TOKEN,
                            buildJsonObject {
                                put(
                                    "n",
                                    sharedKeys.fencingToken + 1,
                                )
                            },
                        ),
                    ),
                )
            }
        log.info("fencing token raised: {} {}", why, r::class.simpleName)
        return r is TransactionResult.Applied
    }

    private var catchingUp = false
    private val caughtUp = LinkedHashSet<() -> Unit>()

    /** A worker knows a higher token than this node: looks at the shared keys, then goes on with [then]. One look serves
     * all who ask, and while it shows nothing newer the next one waits: a node that the state service refuses would
     * otherwise ask without pause, and its users' questions would never get their turn. */
    fun catchUp(then: () -> Unit) {
        caughtUp.add(then)
        if (catchingUp) return
        catchingUp = true
        scope.launch {
            val before = sharedKeys.fencingToken
            refresh()
            if (sharedKeys.fencingToken == before) delay(pause())
            catchingUp = false
            val all = caughtUp.toList()
            caughtUp.clear()
            for (t in all) t()
        }
    }

    suspend fun refresh() {
        val sent = nowMs()
        val l = state.list(Keys.PREFIX, Urgency.LEASE) ?: return
        seen(sharedKeys.load(l), sent)
    }
}
