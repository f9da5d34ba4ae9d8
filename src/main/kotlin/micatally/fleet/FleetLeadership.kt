package micatally.fleet

import kotlinx.coroutines.delay
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.membership.Keys
import micatally.membership.Membership
import micatally.settings.Settings
import micatally.state.Compare
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.wire.textOrNull
import org.slf4j.LoggerFactory

/**
 * Elects the fleet manager: the controller that holds the fleet key. A term is the time for which one controller holds
 * the key without interruption. The key is bound to the controller's lease, so that it is deleted when the lease
 * expires.
 *
 * @param onTermBegan called when this process has become the fleet manager
 */
class FleetLeadership(
    private val settings: Settings,
    private val state: StateStoreClient,
    private val membership: Membership,
    private val nowMs: () -> Long,
    private val onTermBegan: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val sharedKeys = membership.sharedKeys

    /**
     * The latest term of this process, identified by the revision at which it wrote the fleet key; 0 before its first
     * term.
     */
    var term = 0L
        private set

    /** When the latest term began, in milliseconds on this process's clock. */
    var termBeganAtMs = 0L
        private set

    /** Whether this process holds the fleet key according to its copy of the shared keys. */
    val isLeader get() = term > 0 && sharedKeys.modRevision(Keys.FLEET) == term

    /**
     * The condition that this process is still the fleet manager in its latest term; null if it is known not to be.
     * With it the state store rejects a write that arrives when there is another fleet manager.
     */
    fun condition(): Compare? = if (isLeader) Compare(Keys.FLEET, term) else null

    /** Tries to become the fleet manager whenever there is none; never returns. */
    suspend fun electionLoop() {
        while (true) {
            delay(settings.liveMs / ATTEMPTS_PER_LEASE)
            val lease = membership.lease
            if (lease == null || isLeader || sharedKeys.revision < 0) continue
            // This process wrote the key, but the response was lost. No other process can take the key while the lease
            // lasts.
            val isHeldByThisProcess = sharedKeys.value(Keys.FLEET)?.textOrNull("process") == membership.process
            if (isHeldByThisProcess) {
                beginTerm(sharedKeys.modRevision(Keys.FLEET))
            } else if (!sharedKeys.has(Keys.FLEET)) {
                acquire(lease)
            }
        }
    }

    /** Writes the fleet key, on condition that it is free and that this controller's live key is unchanged. */
    private suspend fun acquire(lease: Long) {
        val live = Keys.live(settings.host)
        val leader =
            buildJsonObject {
                put("host", settings.host)
                put("process", membership.process)
            }
        val result =
            state.transact(1, Urgency.SUMMARY) {
                val conditions = listOf(Compare(Keys.FLEET, 0), Compare(live, sharedKeys.modRevision(live)))
                Transaction(conditions, listOf(Put(Keys.FLEET, leader, lease)))
            }
        if (result !is TransactionResult.Applied) {
            delay(settings.liveMs / ATTEMPTS_PER_LEASE)
            return
        }
        membership.refresh()
        beginTerm(result.revision)
    }

    private fun beginTerm(modRevision: Long) {
        term = modRevision
        termBeganAtMs = nowMs()
        log.info("fleet leadership acquired, term {}", term)
        onTermBegan()
    }

    private companion object {
        /** How many times per lease of the controller it checks whether the fleet key is free. */
        const val ATTEMPTS_PER_LEASE = 16
    }
}
