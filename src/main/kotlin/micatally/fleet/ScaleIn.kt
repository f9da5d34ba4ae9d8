package micatally.fleet

import kotlinx.coroutines.CoroutineName
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
 * Deletes machines and stores a record of each deletion. The record is the termination evidence for the tasks that ran
 * on the machine, so it is written only after the cloud has confirmed that the machine is gone.
 *
 * @param mayDelete whether this process is the fleet manager and its lease holds; checked again right before each
 * deletion
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

    /** The deletions to start with the next [submit], by the names of the machines. */
    private val requested = LinkedHashMap<String, DeletionRequest>()

    /** Names of the machines whose deletion or its record is under way. */
    private val inProgress = HashSet<String>()

    /** When the cloud confirmed the deletions of this process, in milliseconds, by the name of the machine. */
    private val deletedAtMs = HashMap<String, Long>()

    /** Begins a term as the fleet manager: drops what was requested in earlier terms. */
    fun beginTerm() = requested.clear()

    /** Requests a deletion with the next [submit]. Of several requests for a machine the first one is kept. */
    fun request(deletion: DeletionRequest) {
        requested.putIfAbsent(deletion.machine, deletion)
    }

    /**
     * Starts to delete the requested machines, up to [MAX_MACHINES_PER_REQUEST] of them, and returns at once. The
     * others are dropped; the next review requests them again if they still have to be deleted.
     */
    fun submit() {
        val deletions =
            requested.values
                .filter { it.machine !in inProgress && !sharedKeys.has(Keys.DELETED_MACHINE + it.machine) }
                .take(MAX_MACHINES_PER_REQUEST)
        requested.clear()
        if (deletions.isEmpty()) return
        val names = deletions.map { it.machine }
        inProgress.addAll(names)
        scope.launch(CoroutineName("machine deletion")) {
            try {
                delete(deletions)
            } finally {
                inProgress.removeAll(names.toSet())
            }
        }
    }

    private suspend fun delete(deletions: List<DeletionRequest>) {
        val names = cloud.delete { namesToDelete(deletions) }
        if (names.isEmpty()) return
        log.info("machines deleted: {}", names)
        deletedAtMs.putAll(names.associateWith { nowMs() })
        // Each machine takes up to two operations: its deletion record is stored, and its eviction record is deleted.
        for (chunk in names.chunked(maxOf(1, settings.maxOperationsPerTransaction / 2))) storeDeletionRecords(chunk)
    }

    /**
     * The machines that may still be deleted. The process may have been suspended since the decision or have waited for
     * the rate limit, and another fleet manager or a shard leader may use the machines by now.
     */
    private fun namesToDelete(deletions: List<DeletionRequest>): List<String> {
        val (due, obsolete) = deletions.partition { mayDelete() && it.isStillDue() }
        for (deletion in due) log.info("deleting machine {}: {}", deletion.machine, deletion.reason)
        for (deletion in obsolete) log.info("machine {} kept, no longer {}", deletion.machine, deletion.reason)
        return due.map { it.machine }
    }

    /**
     * Stores the deletion records, and retries until that succeeds: the machines are gone, and no other process knows.
     */
    private suspend fun storeDeletionRecords(names: List<String>) {
        while (state.transact(names.size, Urgency.INTENT) { deletionRecords(names) } !is TransactionResult.Applied) {
            delay(settings.leaseMs / RETRIES_PER_LEASE)
        }
    }

    private fun deletionRecords(names: List<String>): Transaction {
        val evicted = names.map { Keys.DRAIN + it }.filter { sharedKeys.has(it) }
        val records = names.map { Put(Keys.DELETED_MACHINE + it, EMPTY_OBJECT) }
        return Transaction(emptyList(), records + evicted.map { Delete(it) })
    }

    /**
     * Deletes old deletion records. A controller that misses such a record later only has the machine deleted again.
     */
    suspend fun pruneDeletionRecords() {
        val oldest = nowMs() - settings.leaseMs * RETENTION_LEASES
        val expired = deletedAtMs.filterValues { it < oldest }.keys.take(settings.maxOperationsPerTransaction / 2)
        if (expired.isEmpty() || !mayDelete()) return
        val result =
            state.transact(expired.size, Urgency.SUMMARY) {
                Transaction(emptyList(), expired.map { Delete(Keys.DELETED_MACHINE + it) })
            }
        if (result is TransactionResult.Applied) deletedAtMs.keys.removeAll(expired.toSet())
    }

    private companion object {
        /** The number of machines in one deletion request: half of the cloud's limit. */
        const val MAX_MACHINES_PER_REQUEST = 50

        /** Deletion records are stored for this many leases. */
        const val RETENTION_LEASES = 60

        /** How many times per lease storing the records is retried. */
        const val RETRIES_PER_LEASE = 20
    }
}
