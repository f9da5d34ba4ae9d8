package micatally.fleet

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
 * The records in the state store that tell all controllers which machines are being evicted. Writes are started and not waited
 * for; [reconcile] repeats those that were lost.
 */
class EvictionRecords(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
) {
    private val reconcileIntervalMs = settings.leaseMs / 4
    private var lastReconciledAt = 0L

    /** Keys whose records differed from what was decided when they were last compared. */
    private var mismatchedKeys: Set<String> = emptySet()

    /** Names of the machines with a record, in this process's copy of the shared keys. */
    fun names(): List<String> = sharedKeys.under(Keys.DRAIN).map { it.key.removePrefix(Keys.DRAIN) }

    fun has(name: String): Boolean = sharedKeys.has(Keys.DRAIN + name)

    fun put(name: String) = launchTransaction { Transaction(emptyList(), listOf(record(name))) }

    fun delete(name: String) = launchTransaction { Transaction(emptyList(), listOf(Delete(Keys.DRAIN + name))) }

    private fun record(name: String) = Put(Keys.DRAIN + name, buildJsonObject { put("by", settings.host) })

    private fun launchTransaction(build: () -> Transaction?) {
        scope.launch { state.transact(1, Urgency.SUMMARY, build) }
    }

    /**
     * A write may have got no answer, and may be carried out late or never: the records are brought to what was decided last. A
     * machine with a record that should not be there gets no tasks though jobs wait for it.
     *
     * @param evicting live view of the names of the machines that are being evicted; read again when a write leaves
     */
    fun reconcile(
        evicting: Set<String>,
        now: Long,
    ) {
        if (now - lastReconciledAt < reconcileIntervalMs) return
        lastReconciledAt = now
        val stored = sharedKeys.under(Keys.DRAIN)
        val storedNames = stored.mapTo(HashSet()) { it.key.removePrefix(Keys.DRAIN) }
        val unexpected = stored.filter { it.key.removePrefix(Keys.DRAIN) !in evicting }
        val missing = evicting.filter { it !in storedNames }
        // Only those that differed at the last comparison too: otherwise the usual write may be under way.
        for (item in unexpected) {
            if (item.key in mismatchedKeys) {
                launchTransaction { conditional(item.key, item.modRevision, Delete(item.key)) }
            }
        }
        for (name in missing) {
            val key = Keys.DRAIN + name
            if (key in mismatchedKeys) {
                launchTransaction { if (name in evicting) conditional(key, 0, record(name)) else null }
            }
        }
        mismatchedKeys = unexpected.mapTo(HashSet()) { it.key } + missing.map { Keys.DRAIN + it }
    }

    private fun conditional(
        key: String,
        modRevision: Long,
        change: Write,
    ) = Transaction(listOf(Compare(key, modRevision)), listOf(change))
}
