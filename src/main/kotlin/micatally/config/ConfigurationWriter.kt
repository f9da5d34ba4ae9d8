package micatally.config

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonObject
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Settings
import micatally.state.Compare
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.wire.ChangeAnswer
import micatally.wire.ChangeStatus
import micatally.wire.ConfigurationChange
import micatally.wire.LineError
import org.slf4j.LoggerFactory

/**
 * Commits changes of the configuration. Queued changes are committed in batches: each change gets a version of its own,
 * and the whole batch is stored as one value by a compare-and-swap of the head. The transaction is applied only if the
 * head is still the one that the changes were checked against, so no change is ever based on values that it was not
 * checked with.
 *
 * At most one batch is in flight at a time on a controller; other controllers may write concurrently.
 *
 * @param refreshSharedKeys reads the shared keys from the state store again
 */
class ConfigurationWriter(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
    private val live: LiveConfiguration,
    private val store: ConfigurationStore,
    private val wallMs: () -> Long,
    private val refreshSharedKeys: suspend () -> Unit,
) {
    private val log = LoggerFactory.getLogger("micatally.config")
    private val answerTimeoutMs = settings.leaseMs / 2
    private val retryMs = maxOf(10L, settings.leaseMs / RETRIES_PER_LEASE)

    private class QueuedChange(
        val change: ConfigurationChange,
    ) {
        val answer = CompletableDeferred<ChangeAnswer>()

        /** Whether a transaction with this change has been sent, so that its outcome may be unknown. */
        var isSent = false

        /**
         * Whether the caller was answered without waiting for the outcome. A change that was not sent by then is
         * dropped.
         */
        var hasTimedOut = false
    }

    private val queue = ArrayDeque<QueuedChange>()
    private var isWriting = false

    /**
     * Commits a change, or only checks it if it is a dry run. Suspends until the change is applied or rejected, but no
     * longer than half a lease: then the answer is [ChangeStatus.UNKNOWN] if a transaction with the change has
     * been sent and
     * [ChangeStatus.UNAVAILABLE] otherwise. Repeating a change with the same id is idempotent.
     */
    suspend fun apply(change: ConfigurationChange): ChangeAnswer {
        if (!live.isOn) return ChangeAnswer(ChangeStatus.SWITCHED_OFF)
        if (change.isDryRun) return dryRun(change)
        if (queue.size >= MAX_QUEUED_CHANGES) return ChangeAnswer(ChangeStatus.UNAVAILABLE)
        val queued = QueuedChange(change)
        queue.addLast(queued)
        startWriting()
        withTimeoutOrNull(answerTimeoutMs) { queued.answer.await() }?.let { return it }
        queued.hasTimedOut = true
        return ChangeAnswer(if (queued.isSent) ChangeStatus.UNKNOWN else ChangeStatus.UNAVAILABLE)
    }

    private suspend fun dryRun(change: ConfigurationChange): ChangeAnswer {
        if (!live.refresh()) return ChangeAnswer(ChangeStatus.UNAVAILABLE)
        return rejection(change, live.configuration)
            ?: ChangeAnswer(ChangeStatus.VALID, live.configuration.version)
    }

    /** Why the change can't be applied to [current]; null if it can. */
    private fun rejection(
        change: ConfigurationChange,
        current: Configuration,
    ): ChangeAnswer? {
        val errors = ChangeCheck.errors(change, current)
        if (errors.isNotEmpty()) return ChangeAnswer(ChangeStatus.INVALID, current.version, errors)
        val conflicts = ChangeCheck.conflicts(change, current)
        if (conflicts.isEmpty()) return null
        val lines = conflicts.map { LineError(it, "changed since version ${change.base}") }
        return ChangeAnswer(ChangeStatus.CONFLICT, current.version, lines)
    }

    private fun startWriting() {
        if (isWriting) return
        isWriting = true
        scope.launch {
            try {
                while (queue.isNotEmpty()) commitBatch()
            } finally {
                isWriting = false
            }
        }
    }

    /** A change that passed the checks, with the record and the value to store. */
    private class StagedChange(
        val queued: QueuedChange,
        val record: ChangeRecord,
        val value: JsonObject,
    )

    private suspend fun commitBatch() {
        val head = live.head
        if (head?.version != live.configuration.version || live.phase != ConfigurationPhase.CURRENT) {
            queue.removeAll { it.hasTimedOut }
            delay(retryMs)
            return
        }
        val modRevision = sharedKeys.modRevision(Keys.CONFIG)
        val batch = stageBatch()
        if (batch.isEmpty()) return
        val newest = batch.last().record.version
        val nextHead = ConfigurationHead(newest, head.snapshot, head.snapshotParts)
        val group = Put(Keys.configChange(newest), ChangeCodec.group(batch.map { it.value }))
        batch.forEach { it.queued.isSent = true }
        val isApplied = commit(replaceHead(modRevision, nextHead, listOf(group)))
        if (isApplied) live.awaitVersion(newest, answerTimeoutMs) else catchUp(modRevision)
        for (staged in batch) completeOrRequeue(staged.queued)
        compact()
    }

    /** The compare-and-swap of the head that was read at [modRevision], with [writes] beside it. */
    private fun replaceHead(
        modRevision: Long,
        next: ConfigurationHead,
        writes: List<Put> = emptyList(),
    ): Transaction {
        val head = Put(Keys.CONFIG, ChangeCodec.encode(next))
        return Transaction(listOf(Compare(Keys.CONFIG, modRevision)), listOf(head) + writes)
    }

    /**
     * Takes changes from the queue as long as they fit in one value, and checks each against the configuration with all
     * earlier changes of the batch. Changes that can't be applied are answered here.
     */
    private suspend fun stageBatch(): List<StagedChange> {
        val batch = ArrayList<StagedChange>()
        var next = live.configuration
        var bytes = 0
        while (queue.isNotEmpty() && bytes < settings.valueBytes / 2 - ENVELOPE_BYTES) {
            val queued = queue.removeFirst()
            if (queued.hasTimedOut) continue
            val staged = stageOrAnswer(queued, next) ?: continue
            bytes += staged.value.toString().length + 1
            batch.add(staged)
            next = next.with(staged.record)
        }
        return batch
    }

    /** Stages the change as the successor of [current]; answers it and returns null if that can't be done. */
    private suspend fun stageOrAnswer(
        queued: QueuedChange,
        current: Configuration,
    ): StagedChange? {
        val appliedVersion = current.versionOf(queued.change.id)
        val answer =
            appliedVersion?.let { ChangeAnswer(ChangeStatus.APPLIED, it) } ?: rejection(queued.change, current)
        if (answer != null) {
            queued.answer.complete(answer)
            return null
        }
        val record = recordOf(queued.change, current.version + 1)
        val value = store.stage(record)
        if (value == null) {
            queued.answer.complete(ChangeAnswer(ChangeStatus.UNAVAILABLE))
            return null
        }
        return StagedChange(queued, record, value)
    }

    private fun recordOf(
        change: ConfigurationChange,
        version: Long,
    ) = ChangeRecord(
        version,
        change.id,
        change.author,
        change.reason,
        wallMs(),
        change.set.map { it.toTeam() },
        change.remove,
    )

    /**
     * Returns whether this call applied the transaction. While the outcome of a request is unknown the transaction may
     * still be applied later, so it is repeated under the same condition until an answer shows that it was applied or
     * can't be applied any more.
     */
    private suspend fun commit(transaction: Transaction): Boolean {
        var mayBeCommitted = false
        while (true) {
            when (state.transact(transaction.changes.size, Urgency.ACCEPTANCE) { transaction }) {
                is TransactionResult.Applied -> return true
                is TransactionResult.Failed -> return false
                TransactionResult.Unknown -> mayBeCommitted = true
                else -> if (!mayBeCommitted) return false
            }
            delay(retryMs)
        }
    }

    /** After a lost compare-and-swap (another writer was first, or an answer was lost): waits for the newer head. */
    private suspend fun catchUp(modRevision: Long) {
        refreshSharedKeys()
        if (sharedKeys.modRevision(Keys.CONFIG) == modRevision) delay(retryMs)
        live.head?.let { live.awaitVersion(it.version, answerTimeoutMs) }
    }

    /**
     * Answers a change of a finished transaction if it was applied; otherwise puts it back at the head of the
     * queue.
     */
    private fun completeOrRequeue(queued: QueuedChange) {
        val version = live.configuration.versionOf(queued.change.id)
        if (version != null) {
            val change = queued.change
            log.info("configuration change committed: version {} by {}: {}", version, change.author, change.reason)
            queued.answer.complete(ChangeAnswer(ChangeStatus.APPLIED, version))
        } else if (!queued.hasTimedOut) {
            queued.isSent = false
            queue.addFirst(queued)
        }
    }

    /** Writes a snapshot once enough changes have piled up, so that a start reads a bounded number of them. */
    private suspend fun compact() {
        val head = live.head ?: return
        val configuration = live.configuration
        if (configuration.version != head.version || head.version - head.snapshot < SNAPSHOT_EVERY) return
        val modRevision = sharedKeys.modRevision(Keys.CONFIG)
        val parts = store.writeSnapshot(configuration) ?: return
        val nextHead = ConfigurationHead(head.version, head.version, parts)
        if (commit(replaceHead(modRevision, nextHead)) && head.snapshot > 0) store.prune(head.snapshot)
        // The next change must be checked against the head that was just written.
        refreshSharedKeys()
    }

    companion object {
        private const val RETRIES_PER_LEASE = 200
        private const val MAX_QUEUED_CHANGES = 1000

        /** Bytes of a value around the changes in it. */
        private const val ENVELOPE_BYTES = 64

        /**
         * Number of changes between two snapshots. At least as many versions can be rolled back to, at most
         * twice as many.
         */
        const val SNAPSHOT_EVERY = 500
    }
}
