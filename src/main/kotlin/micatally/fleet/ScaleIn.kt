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

/** Returns machines to the cloud and stores that they are gone, which is the proof that their tasks are. */
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
    private val requested = LinkedHashSet<String>()
    private val inProgress = HashSet<String>()
    private val deletedAt = HashMap<String, Long>()

    fun request(names: Collection<String>) {
        requested.addAll(names)
    }

    fun request(name: String) {
        requested.add(name)
    }

    /** What is not sent now is found again in the next step, if it is still to go. */
    fun submit() {
        val names =
            requested
                .filter {
                    it !in inProgress && !sharedKeys.has(Keys.DELETED_MACHINE + it)
                }.take(MAX_MACHINES_PER_REQUEST)
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
        // The process may have stood still since this was decided; another fleet manager uses the machines by then.
        if (!mayDelete() || !cloud.delete(names)) return
        log.info("machines deleted: {}", names)
        deletedAt.putAll(names.associateWith { nowMs() })
        for (chunk in names.chunked(maxOf(1, settings.maxOperationsPerTransaction / 2))) {
            while (state.transact(
                    chunk.size,
                    Urgency.INTENT,
                ) { deletionRecords(chunk) } !is TransactionResult.Applied
            ) {
                delay(settings.leaseMs / RETRIES_PER_LEASE)
            }
        }
    }

    private fun deletionRecords(names: List<String>): Transaction {
        val evicted = names.map { Keys.DRAIN + it }.filter { sharedKeys.has(it) }
        return Transaction(
            emptyList(),
            names.map { Put(Keys.DELETED_MACHINE + it, EMPTY_OBJECT) } + evicted.map { Delete(it) },
        )
    }

    /** Old proofs are dropped; a machine whose proof is missed is simply deleted again. */
    suspend fun pruneDeletionRecords() {
        val oldest = nowMs() - settings.leaseMs * RETENTION_LEASES
        val expired = deletedAt.filterValues { it < oldest }.keys.take(settings.maxOperationsPerTransaction / 2)
        if (expired.isEmpty() || !mayDelete()) return
        val result =
            state.transact(expired.size, Urgency.SUMMARY) {
                Transaction(
                    emptyList(),
                    expired.map {
                        Delete(Keys.DELETED_MACHINE + it)
                    },
                )
            }
        if (result is TransactionResult.Applied) deletedAt.keys.removeAll(expired.toSet())
    }

    private companion object {
        /** Half of the protocol's limit for one request. */
        const val MAX_MACHINES_PER_REQUEST = 50
        const val RETENTION_LEASES = 60
        const val RETRIES_PER_LEASE = 20
    }
}
