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
 * Which controller is the fleet manager: the one that holds the fleet key. A term is one hold on the key. The key is bound to the
 * controller's lease, so it is free again when the lease expires.
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

    /** This process's last term: the revision at which it wrote the fleet key; 0 before the first one. */
    var term = 0L
        private set
    var termBeganAt = 0L
        private set

    /** Whether this process holds the fleet key, as far as it has heard. */
    val isLeader get() = term > 0 && sharedKeys.modRevision(Keys.FLEET) == term

    /** Tries to become the fleet manager whenever there is none; never returns. */
    suspend fun follow() {
        while (true) {
            delay(settings.liveMs / ATTEMPTS_PER_LEASE)
            val lease = membership.lease
            if (lease == null || isLeader || sharedKeys.revision < 0) continue
            // The answer to the write of the key was lost: no other process can take the key while this one lives.
            val isHeldByThisProcess = sharedKeys.value(Keys.FLEET)?.textOrNull("process") == membership.process
            if (isHeldByThisProcess) {
                beginTerm(sharedKeys.modRevision(Keys.FLEET))
            } else if (!sharedKeys.has(Keys.FLEET)) {
                acquire(lease)
            }
        }
    }

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
        termBeganAt = nowMs()
        log.info("fleet leadership acquired, term {}", term)
        onTermBegan()
    }

    private companion object {
        /** How often in a controller's lease the key is tried. */
        const val ATTEMPTS_PER_LEASE = 16
    }
}
