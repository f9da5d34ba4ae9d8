package micatally.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Settings
import micatally.state.Delete
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.wire.EMPTY_OBJECT
import org.slf4j.LoggerFactory

/**
 * Deletes machines and stores a record of each deletion. The record is the termination evidence for the tasks that ran there, so it
 * is only written once the cloud has confirmed that the machine is gone.
 *
 * @param mayDelete whether this process is the fleet manager and its lease holds; asked again right before each deletion
 */
class ScaleIn(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val cloud: CloudClient,
    private val sharedKeys: SharedKeyCache,
    private val mayDelete: () -> Boolean,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")

    /** Names of machines to delete with the next [submit]. */
    private val requested = LinkedHashSet<String>()
    private val inProgress = HashSet<String>()
    private val deletedAt = HashMap<String, Long>()

    fun request(names: Collection<String>) {
        requested.addAll(names)
    }

    fun request(name: String) {
        requested.add(name)
    }

    /** Starts to delete the requested machines. Those that exceed one request are dropped: the next review
     * asks for them again if they are still to go. */
    fun submit() {
        val names =
            requested
                .filter { it !in inProgress && !sharedKeys.has(Keys.DELETED_MACHINE + it) }
                .take(MAX_MACHINES_PER_REQUEST)
        requested.clear()
        if (names.isEmpty()) return
        inProgress.addAll(names)
        scope.launch {
            try {
                delete(names)
            } finally {
                inProgress.removeAll(names.toSet())
            }
        }
    }

    private suspend fun delete(names: List<String>) {
        // The process may have been suspended since this was decided; another fleet manager uses the machines by then.
        if (!mayDelete() || !cloud.delete(names)) return
        log.info("machines deleted: {}", names)
        deletedAt.putAll(names.associateWith { nowMs() })
        // Up to two changes for each machine.
        for (chunk in names.chunked(maxOf(1, settings.maxOperationsPerTransaction / 2))) store(chunk)
    }

    /** The machines are gone and only this process knows it: the records are written however long it takes. */
    private suspend fun store(names: List<String>) {
        while (state.transact(names.size, Urgency.INTENT) { deletionRecords(names) } !is TransactionResult.Applied) {
            delay(settings.leaseMs / RETRIES_PER_LEASE)
        }
    }

    private fun deletionRecords(names: List<String>): Transaction {
        val evicted = names.map { Keys.DRAIN + it }.filter { sharedKeys.has(it) }
        val records = names.map { Put(Keys.DELETED_MACHINE + it, EMPTY_OBJECT) }
        return Transaction(emptyList(), records + evicted.map { Delete(it) })
    }

    /** Drops old deletion records. A machine whose record is missed later is simply deleted again. */
    suspend fun pruneDeletionRecords() {
        val oldest = nowMs() - settings.leaseMs * RETENTION_LEASES
        val expired = deletedAt.filterValues { it < oldest }.keys.take(settings.maxOperationsPerTransaction / 2)
        if (expired.isEmpty() || !mayDelete()) return
        val result =
            state.transact(expired.size, Urgency.SUMMARY) {
                Transaction(emptyList(), expired.map { Delete(Keys.DELETED_MACHINE + it) })
            }
        if (result is TransactionResult.Applied) deletedAt.keys.removeAll(expired.toSet())
    }

    private companion object {
        /** Half of the cloud's limit for one request. */
        const val MAX_MACHINES_PER_REQUEST = 50

        /** For how many leases deletion records are stored. */
        const val RETENTION_LEASES = 60

        /** How often in a lease storing the records is repeated. */
        const val RETRIES_PER_LEASE = 20
    }
}
