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
 * This controller's lease at the state store and the live key that is tied to it. The state store deletes the live key when the
 * lease expires, and the other controllers then take over this one's shards.
 *
 * @param liveKeyValue what this controller stores under its live key
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

    /** When the last request left that granted or renewed the lease. */
    private var provenAt = Long.MIN_VALUE / 2

    /** The live key's revision as this process wrote it: it changes only when another process writes or deletes the key. */
    private var liveKeyModRevision = 0L

    /** The lease's id at the state store, or null while there is no lease. */
    var id: Long? = null
        private set

    /** True while the lease cannot have expired at the state store, so that no other controller can have taken this one's shards. */
    fun holds(): Boolean = id != null && nowMs() < provenAt + settings.liveMs * SAFE_PERCENT / PERCENT

    /** Obtains the lease and keeps it renewed; does not return. */
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

    /** Gives up the lease if the shared keys show another live key of this host than the one that this process wrote. */
    fun checkLiveKey() {
        val isKeySeen = sharedKeys.revision >= liveKeyModRevision
        if (id == null || !isKeySeen || sharedKeys.modRevision(liveKey) == liveKeyModRevision) return
        log.info("lease {} given up: the live key is not the one that this process wrote", id)
        id = null
    }

    private suspend fun obtain() {
        val sentAt = nowMs()
        if (sharedKeys.revision < 0) {
            delay(settings.liveMs / FIRST_VIEW_POLLS)
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
            provenAt = sentAt
            liveKeyModRevision = result.revision
            log.info("lease {} granted: this controller is live", granted)
            return
        }
        state.revoke(granted)
        val mayViewBeOutdated = result is TransactionResult.Failed || result is TransactionResult.Unknown
        if (mayViewBeOutdated) refresh()
        delay(retryDelay.nextMs())
    }

    /**
     * Writes the live key on the condition that it has not changed. Without the condition a copy of the request that is carried
     * out late, perhaps one of a former process, would tie the key to a lease that nobody renews: the key would disappear while
     * this controller relies on its newer lease. When the outcome is unknown the lease is revoked, and a write that is carried
     * out after that finds no lease.
     */
    private suspend fun writeLiveKey(lease: Long): TransactionResult =
        state.transact(1, Urgency.LEASE) {
            Transaction(
                listOf(Compare(liveKey, sharedKeys.modRevision(liveKey))),
                listOf(Put(liveKey, liveKeyValue.encode(), lease)),
            )
        }

    private suspend fun renew(held: Long) {
        val sentAt = nowMs()
        when (state.renew(held)) {
            RenewalResult.RENEWED -> {
                provenAt = sentAt
                delay(settings.liveMs / RENEWALS_PER_LIVE_TIME)
            }
            RenewalResult.EXPIRED -> {
                log.info("lease {} expired", held)
                id = null
            }
            RenewalResult.UNKNOWN -> delay(retryDelay.nextMs())
        }
    }

    /**
     * The lease ends here before it ends at the state store: from this line on nothing is answered from memory. Writes under way
     * are conditional on the shards' revisions, which the next leader changes.
     */
    private suspend fun stepDown(held: Long) {
        log.info("lease {} given up: other controllers reach the workers and this one does not", held)
        id = null
        state.revoke(held)
    }

    private companion object {
        /** A lease counts as held for this part of its time, which leaves room for clocks of different speed. */
        const val SAFE_PERCENT = 97
        const val PERCENT = 100
        const val RENEWALS_PER_LIVE_TIME = 4
        const val FIRST_VIEW_POLLS = 200
    }
}
