package micatally.config

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
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
import micatally.supervision.launchSupervised
import micatally.wire.ChangeAnswer
import micatally.wire.ChangeStatus
import micatally.wire.ConfigurationChange
import micatally.wire.LineError
import org.slf4j.LoggerFactory

/**
 * Commits changes of the configuration. Queued changes are committed in batches: each change gets a version of its own,
 * and the whole batch is stored as one value by a compare-and-swap of the head. The transaction is applied only if the
 * head is still the one that the changes were checked against, so a change is never applied to values other than those
 * that it was checked against.
 *
 * A controller has at most one batch in flight. Other controllers may write concurrently.
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
         * Whether the caller was answered at the timeout, before the outcome was known. Such a change is dropped unless
         * a transaction with it is in flight.
         */
        var hasTimedOut = false
    }

    private val queue = ArrayDeque<QueuedChange>()
    private var isWriting = false

    /**
     * Commits a change, or only checks it if it is a dry run. Suspends until the change is applied or rejected, but for
     * at most half a worker lease. After that time the answer is [ChangeStatus.UNKNOWN] if a transaction with the
     * change has been sent, and [ChangeStatus.UNAVAILABLE] otherwise. Repeating a change with the same id is
     * idempotent.
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

    /** Returns the answer that rejects the change, or null if it can be applied to [current]. */
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

    /** Starts to commit the queued changes, unless that is already running. */
    private fun startWriting() {
        if (isWriting) return
        isWriting = true
        scope
            .launchSupervised("configuration writes") { while (queue.isNotEmpty()) commitBatch() }
            .invokeOnCompletion { isWriting = false }
    }

    /** A change that passed the checks, with the record and the value to store. */
    private class StagedChange(
        val queued: QueuedChange,
        val record: ChangeRecord,
        val value: JsonObject,
    )

    /**
     * Commits one batch of queued changes. Waits instead if this controller has not loaded the newest configuration
     * yet.
     */
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

    /**
     * Returns the transaction that replaces the head if it was last modified at [modRevision], and carries out [writes]
     * together with that.
     */
    private fun replaceHead(
        modRevision: Long,
        next: ConfigurationHead,
        writes: List<Put> = emptyList(),
    ): Transaction {
        val head = Put(Keys.CONFIG, ChangeCodec.encode(next))
        return Transaction(listOf(Compare(Keys.CONFIG, modRevision)), listOf(head) + writes)
    }

    /**
     * Takes changes from the queue as long as they fit in one value. Each is checked against the configuration with all
     * earlier changes of the batch applied. Changes that can't be applied are answered here and left out.
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

    /**
     * Stages the change as the one that follows [current]. If it can't be staged, or has been applied already, answers
     * it and returns null.
     */
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
     * Sends the transaction and returns whether the response of the state store confirms it as applied. After a request
     * with an unknown outcome the transaction may still be applied later. It is then repeated under the same condition
     * until a response shows that it was applied or can no longer be applied.
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

    /**
     * Waits for the newer configuration after the compare-and-swap of the head was not confirmed. Either another writer
     * was first, or the response to a successful request was lost, or the state store did not carry out the request.
     */
    private suspend fun catchUp(modRevision: Long) {
        refreshSharedKeys()
        if (sharedKeys.modRevision(Keys.CONFIG) == modRevision) delay(retryMs)
        live.head?.let { live.awaitVersion(it.version, answerTimeoutMs) }
    }

    /**
     * Answers a change whose transaction has ended if it was applied. Otherwise puts the change back at the front of
     * the queue, unless it has timed out.
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

    /**
     * Writes a snapshot if there are [SNAPSHOT_EVERY] changes since the last one, so that a starting controller reads a
     * bounded number of changes.
     */
    private suspend fun compact() {
        val head = live.head ?: return
        val configuration = live.configuration
        if (configuration.version != head.version || head.version - head.snapshot < SNAPSHOT_EVERY) return
        val modRevision = sharedKeys.modRevision(Keys.CONFIG)
        val parts = store.writeSnapshot(configuration) ?: return
        val nextHead = ConfigurationHead(head.version, head.version, parts)
        if (commit(replaceHead(modRevision, nextHead)) && head.snapshot > 0) store.prune(head.snapshot)
        // The compare-and-swap of the next batch must expect the head that was just written.
        refreshSharedKeys()
    }

    companion object {
        private const val RETRIES_PER_LEASE = 200
        private const val MAX_QUEUED_CHANGES = 1000

        /** Bytes of a value that are reserved for the JSON around its changes. */
        private const val ENVELOPE_BYTES = 64

        /**
         * Number of changes between two snapshots. At least this many of the newest versions can be rolled back to, and
         * at most twice as many.
         */
        const val SNAPSHOT_EVERY = 500
    }
}
