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
    private val wanted = LinkedHashSet<String>()
    private val underWay = HashSet<String>()
    private val goneAt = HashMap<String, Long>()

    fun want(names: Collection<String>) {
        wanted.addAll(names)
    }

    fun want(name: String) {
        wanted.add(name)
    }

    /** What is not sent now is found again in the next step, if it is still to go. */
    fun send() {
        val names = wanted.filter { it !in underWay && !sharedKeys.has(Keys.DELETED_MACHINE + it) }.take(MOST_AT_ONCE)
        wanted.clear()
        if (names.isEmpty()) return
        underWay.addAll(names)
        scope.launch {
            try {
                delete(names)
            } finally {
                underWay.removeAll(names.toSet())
            }
        }
    }

    private suspend fun delete(names: List<String>) {
        // The process may have stood still since this was decided; another fleet manager uses the machines by then.
        if (!mayDelete() || !cloud.delete(names)) return
        log.info("machines deleted: {}", names)
        goneAt.putAll(names.associateWith { nowMs() })
        for (part in names.chunked(maxOf(1, settings.maxOperationsPerTransaction / 2))) {
            while (state.transact(part.size, Urgency.INTENT) { proof(part) } !is TransactionResult.Applied) {
                delay(settings.leaseMs / REPEAT_SHARE)
            }
        }
    }

    private fun proof(names: List<String>): Transaction {
        val drained = names.map { Keys.DRAIN + it }.filter { sharedKeys.has(it) }
        return Transaction(
            emptyList(),
            names.map { Put(Keys.DELETED_MACHINE + it, EMPTY_OBJECT) } + drained.map { Delete(it) },
        )
    }

    /** Old proofs are dropped; a machine whose proof is missed is simply deleted again. */
    suspend fun prune() {
        val oldest = nowMs() - settings.leaseMs * KEPT_LEASES
        val old = goneAt.filterValues { it < oldest }.keys.take(settings.maxOperationsPerTransaction / 2)
        if (old.isEmpty() || !mayDelete()) return
        val dropped =
            state.transact(old.size, Urgency.SUMMARY) {
                Transaction(
                    emptyList(),
                    old.map {
                        Delete(Keys.DELETED_MACHINE + it)
                    },
                )
            }
        if (dropped is TransactionResult.Applied) goneAt.keys.removeAll(old.toSet())
    }

    private companion object {
        /** Half of the protocol's limit for one request. */
        const val MOST_AT_ONCE = 50
        const val KEPT_LEASES = 60
        const val REPEAT_SHARE = 20
    }
}
