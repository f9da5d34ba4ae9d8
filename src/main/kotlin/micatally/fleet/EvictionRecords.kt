package micatally.fleet

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Settings
import micatally.state.Compare
import micatally.state.Delete
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.Urgency
import micatally.state.Write

/**
 * The records in the state store that tell all controllers which machines are being evicted. [put] and [delete] start a
 * write and return at once. [reconcile] repeats writes that were lost. Only the fleet manager's writes are carried out.
 *
 * @param leaderCondition the condition that this process is the fleet manager; null if it is not
 */
class EvictionRecords(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
    private val leaderCondition: () -> Compare?,
) {
    private val reconcileIntervalMs = settings.leaseMs / 4
    private var lastReconciledAtMs = 0L

    /** Keys whose stored records differed from the evictions in progress at the last comparison. */
    private var mismatchedKeys: Set<String> = emptySet()

    /** Names of the machines that have a record in this process's copy of the shared keys. */
    fun names(): List<String> = sharedKeys.under(Keys.DRAIN).map { it.key.removePrefix(Keys.DRAIN) }

    /** Whether the machine has a record in this process's copy of the shared keys. */
    fun has(name: String): Boolean = sharedKeys.has(Keys.DRAIN + name)

    /** Starts to store a record for the machine. */
    fun put(name: String) = startTransaction { recordOf(name) }

    /** Starts to delete the record of the machine. */
    fun delete(name: String) = startTransaction { Delete(Keys.DRAIN + name) }

    private fun recordOf(name: String) = Put(Keys.DRAIN + name, buildJsonObject { put("by", settings.host) })

    /** Starts to carry out what [change] returns just before it is sent, on [conditions] and as the fleet manager. */
    private fun startTransaction(
        conditions: List<Compare> = emptyList(),
        change: () -> Write?,
    ) {
        scope.launch(CoroutineName("eviction record write")) {
            state.transact(1, Urgency.SUMMARY) { transaction(conditions, change()) }
        }
    }

    private fun transaction(
        conditions: List<Compare>,
        change: Write?,
    ): Transaction? {
        val isLeader = leaderCondition()
        if (isLeader == null || change == null) return null
        return Transaction(conditions + isLeader, listOf(change))
    }

    /**
     * Compares the stored records with the evictions in progress and corrects those that differ. This is needed because
     * a write without a response may be carried out late or never. A record that is left over would keep tasks off its
     * machine even while jobs wait for capacity.
     *
     * @param evicting live view of the names of the machines that are being evicted; read again just before a write is
     * sent
     */
    fun reconcile(
        evicting: Set<String>,
        now: Long,
    ) {
        if (now - lastReconciledAtMs < reconcileIntervalMs) return
        lastReconciledAtMs = now
        val stored = sharedKeys.under(Keys.DRAIN)
        val storedNames = stored.mapTo(HashSet()) { it.key.removePrefix(Keys.DRAIN) }
        val unexpected = stored.filter { it.key.removePrefix(Keys.DRAIN) !in evicting }
        val missing = evicting.filter { it !in storedNames }
        // Only keys that also differed at the last comparison are corrected: for others, the regular write may be under
        // way.
        for (item in unexpected) {
            if (item.key in mismatchedKeys) {
                startTransaction(listOf(Compare(item.key, item.modRevision))) { Delete(item.key) }
            }
        }
        for (name in missing) {
            val key = Keys.DRAIN + name
            if (key in mismatchedKeys) {
                startTransaction(listOf(Compare(key, 0))) { if (name in evicting) recordOf(name) else null }
            }
        }
        mismatchedKeys = unexpected.mapTo(HashSet()) { it.key } + missing.map { Keys.DRAIN + it }
    }
}
