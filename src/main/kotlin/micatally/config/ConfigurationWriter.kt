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
 * Stores changes of the configuration. Changes that wait are written together, each under a version of its own, as one
 * value in one transaction with the head, on the condition that the head is the one that they were checked against.
 *
 * @param refreshSharedKeys reads the shared keys again
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

        /** A transaction with it has left: its outcome may be unknown. */
        var isSent = false
        var hasTimedOut = false
    }

    private val queue = ArrayDeque<QueuedChange>()
    private var isWriting = false

    /** Applies a change, or says why not. Returns within half a lease. */
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

    /** A change that has been checked, with its stored form. */
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
        val nextHead = ChangeCodec.encode(ConfigurationHead(newest, head.snapshot, head.snapshotParts))
        val group = Put(Keys.configChange(newest), ChangeCodec.group(batch.map { it.value }))
        val transaction =
            Transaction(listOf(Compare(Keys.CONFIG, modRevision)), listOf(Put(Keys.CONFIG, nextHead), group))
        batch.forEach { it.queued.isSent = true }
        if (commit(transaction)) live.awaitVersion(newest, answerTimeoutMs) else catchUp(modRevision)
        for (staged in batch) completeOrRequeue(staged.queued)
        compact()
    }

    /** Takes waiting changes as long as they fit in one value; those that can't be applied are answered here. */
    private suspend fun stageBatch(): List<StagedChange> {
        val batch = ArrayList<StagedChange>()
        var next = live.configuration
        var bytes = 0
        while (queue.isNotEmpty() && bytes < settings.valueBytes / 2 - ENVELOPE_BYTES) {
            val queued = queue.removeFirst()
            if (queued.hasTimedOut) continue
            val appliedVersion = next.versionOf(queued.change.id)
            val answer =
                appliedVersion?.let { ChangeAnswer(ChangeStatus.APPLIED, it) } ?: rejection(queued.change, next)
            if (answer != null) {
                queued.answer.complete(answer)
                continue
            }
            val record = recordOf(queued.change, next.version + 1)
            val value = store.stage(record)
            if (value == null) {
                queued.answer.complete(ChangeAnswer(ChangeStatus.UNAVAILABLE))
                continue
            }
            bytes += value.toString().length + 1
            batch.add(StagedChange(queued, record, value))
            next = next.with(record)
        }
        return batch
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
     * Whether the transaction was applied by this call. After silence it may yet be carried out, so it is repeated, under the
     * same condition, until an answer shows that it has been or can't be any more.
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

    /** Another writer was first, or this one's answer was lost: waits until the newer head is known here. */
    private suspend fun catchUp(modRevision: Long) {
        refreshSharedKeys()
        if (sharedKeys.modRevision(Keys.CONFIG) == modRevision) delay(retryMs)
        live.head?.let { live.awaitVersion(it.version, answerTimeoutMs) }
    }

    /** Answers a change whose transaction has ended, or has it tried again. */
    private fun completeOrRequeue(queued: QueuedChange) {
        val version = live.configuration.versionOf(queued.change.id)
        if (version != null) {
            log.info("configuration change committed: version {} by {}: {}", version, queued.change.author, queued.change.reason)
            queued.answer.complete(ChangeAnswer(ChangeStatus.APPLIED, version))
        } else if (!queued.hasTimedOut) {
            queued.isSent = false
            queue.addFirst(queued)
        }
    }

    /** Bounds what a start has to read. */
    private suspend fun compact() {
        val head = live.head ?: return
        val configuration = live.configuration
        if (configuration.version != head.version || head.version - head.snapshot < SNAPSHOT_EVERY) return
        val modRevision = sharedKeys.modRevision(Keys.CONFIG)
        val parts = store.writeSnapshot(configuration) ?: return
        val next = ChangeCodec.encode(ConfigurationHead(head.version, head.version, parts))
        val transaction = Transaction(listOf(Compare(Keys.CONFIG, modRevision)), listOf(Put(Keys.CONFIG, next)))
        if (commit(transaction) && head.snapshot > 0) store.prune(head.snapshot)
        // The next change must be checked against the head that was just written.
        refreshSharedKeys()
    }

    companion object {
        private const val RETRIES_PER_LEASE = 200
        private const val MAX_QUEUED_CHANGES = 1000

        /** What surrounds the changes in their value. */
        private const val ENVELOPE_BYTES = 64

        /** After so many changes a snapshot is written; so many, and as many again, can be rolled back to. */
        const val SNAPSHOT_EVERY = 500
    }
}
