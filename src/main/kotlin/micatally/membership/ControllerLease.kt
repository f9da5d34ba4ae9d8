package micatally.membership

import kotlinx.coroutines.delay
import micatally.settings.Settings
import micatally.state.Compare
import micatally.state.Put
import micatally.state.RenewalResult
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import org.slf4j.LoggerFactory

/**
 * This controller's lease at the state store, and the live key that is bound to it. The live key tells the other
 * controllers that this one is alive. When the lease expires, the state store deletes the live key, and the other
 * controllers acquire this one's shards.
 *
 * @param liveKeyValue the value that this controller writes under its live key
 * @param refresh reads the shared keys again
 */
internal class ControllerLease(
    private val settings: Settings,
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
    private val liveKeyValue: LiveController,
    private val conditions: MembershipConditions,
    private val retryDelay: RetryDelay,
    private val nowMs: () -> Long,
    private val refresh: suspend () -> Unit,
) {
    private val log = LoggerFactory.getLogger("micatally.membership")
    private val liveKey = Keys.live(settings.host)

    /** When the last successful grant or renewal request was sent, in ms on this controller's clock. */
    private var lastProofSentAtMs = Long.MIN_VALUE / 2

    /**
     * The revision at which this process wrote the live key. If the key's revision differs later, another process has
     * written the key or the key has been deleted.
     */
    private var liveKeyModRevision = 0L

    /** The id of the lease at the state store, or null while there is no lease. */
    var id: Long? = null
        private set

    /**
     * Whether the lease is certainly still valid at the state store. While this is true, no other controller can have
     * acquired this controller's own shard.
     */
    fun holds(): Boolean = id != null && nowMs() < lastProofSentAtMs + settings.liveMs * SAFE_PERCENT / PERCENT

    /** Obtains a lease and renews it, and obtains a new one whenever it is lost. Never returns. */
    suspend fun run() {
        while (true) {
            val held = id
            when {
                conditions.shouldStepDown() -> {
                    if (held != null) stepDown(held)
                    delay(retryDelay.nextMs())
                }
                held == null -> obtain()
                else -> renew(held)
            }
        }
    }

    /**
     * Gives up the lease if the shared keys show that the live key is no longer the one that this process wrote. Called
     * after each update of the shared keys. An update from before the write shows an older live key and is ignored.
     */
    fun checkLiveKey() {
        val isOwnWriteSeen = sharedKeys.revision >= liveKeyModRevision
        if (id == null || !isOwnWriteSeen || sharedKeys.modRevision(liveKey) == liveKeyModRevision) return
        log.info("lease {} given up: the live key is not the one that this process wrote", id)
        id = null
    }

    private suspend fun obtain() {
        val sentAtMs = nowMs()
        if (sharedKeys.revision < 0) {
            delay(settings.liveMs / FIRST_VIEW_POLLS_PER_TTL)
            return
        }
        val granted = state.grant(settings.liveMs)
        if (granted == null) {
            delay(retryDelay.nextMs())
            return
        }
        val result = writeLiveKey(granted)
        if (result is TransactionResult.Applied) {
            id = granted
            lastProofSentAtMs = sentAtMs
            liveKeyModRevision = result.revision
            log.info("lease {} granted: this controller is live", granted)
            return
        }
        state.revoke(granted)
        val mayCacheBeOutdated = result is TransactionResult.Failed || result is TransactionResult.Unknown
        if (mayCacheBeOutdated) refresh()
        delay(retryDelay.nextMs())
    }

    /**
     * Writes the live key on the condition that it has not changed since this controller last read it.
     *
     * A delayed copy of the request, perhaps one of an earlier process of this host, may reach the state store late.
     * Without the condition it would bind the key to a lease that nobody renews. The key would then be deleted while
     * this controller relies on its newer lease. If the outcome is unknown, [obtain] revokes the lease, and the state
     * store rejects a write that arrives after that because its lease does not exist.
     */
    private suspend fun writeLiveKey(lease: Long): TransactionResult =
        state.transact(1, Urgency.LEASE) {
            Transaction(
                listOf(Compare(liveKey, sharedKeys.modRevision(liveKey))),
                listOf(Put(liveKey, liveKeyValue.encode(), lease)),
            )
        }

    private suspend fun renew(held: Long) {
        val sentAtMs = nowMs()
        when (state.renew(held)) {
            RenewalResult.RENEWED -> {
                lastProofSentAtMs = sentAtMs
                delay(settings.liveMs / RENEWALS_PER_TTL)
            }
            RenewalResult.EXPIRED -> {
                log.info("lease {} expired", held)
                id = null
            }
            RenewalResult.UNKNOWN -> delay(retryDelay.nextMs())
        }
    }

    /**
     * Gives up the lease because other controllers reach the workers and this one does not. Clears [id] before the
     * lease ends at the state store, so that this controller stops answering from memory before another one can acquire
     * its shards. Writes in flight are safe: they are conditional on the shards' revisions, which the next leader
     * changes.
     */
    private suspend fun stepDown(held: Long) {
        log.info("lease {} given up: other controllers reach the workers and this one does not", held)
        id = null
        state.revoke(held)
    }

    private companion object {
        /** A lease counts as held for this percentage of its time to live. The rest is a margin for clock drift. */
        const val SAFE_PERCENT = 97
        const val PERCENT = 100
        const val RENEWALS_PER_TTL = 4

        /** How often per time to live it is checked whether the shared keys have been read for the first time. */
        const val FIRST_VIEW_POLLS_PER_TTL = 200
    }
}
