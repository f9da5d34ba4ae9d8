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
 * @param refreshView reads the shared keys again
 */
class ConfigurationWriter(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
    private val live: LiveConfiguration,
    private val store: ConfigurationStore,
    private val wallMs: () -> Long,
    private val refreshView: suspend () -> Unit,
) {
    private val log = LoggerFactory.getLogger("micatally.config")
    private val answerMs = settings.leaseMs / 2
    private val retryMs = maxOf(10L, settings.leaseMs / RETRIES_A_LEASE)

    private class Pending(
        val change: ConfigurationChange,
    ) {
        val answer = CompletableDeferred<ChangeAnswer>()

        /** A transaction with it has left: its outcome may be unknown. */
        var hasLeft = false
        var isGivenUp = false
    }

    private val waiting = ArrayDeque<Pending>()
    private var isWriting = false

    /** Applies a change, or says why not. Returns within half a lease. */
    suspend fun apply(change: ConfigurationChange): ChangeAnswer {
        if (!live.isOn) return ChangeAnswer(ChangeStatus.SWITCHED_OFF)
        if (change.isDryRun) return dryRun(change)
        if (waiting.size >= MOST_WAITING) return ChangeAnswer(ChangeStatus.UNAVAILABLE)
        val pending = Pending(change)
        waiting.addLast(pending)
        write()
        withTimeoutOrNull(answerMs) { pending.answer.await() }?.let { return it }
        pending.isGivenUp = true
        return ChangeAnswer(if (pending.hasLeft) ChangeStatus.UNKNOWN else ChangeStatus.UNAVAILABLE)
    }

    private suspend fun dryRun(change: ConfigurationChange): ChangeAnswer {
        if (!live.refresh()) return ChangeAnswer(ChangeStatus.UNAVAILABLE)
        return refusal(change, live.configuration)
            ?: ChangeAnswer(ChangeStatus.VALID, live.configuration.version)
    }

    /** Why the change can't be applied to [present]; null if it can. */
    private fun refusal(
        change: ConfigurationChange,
        present: Configuration,
    ): ChangeAnswer? {
        val errors = ChangeCheck.errors(change, present)
        if (errors.isNotEmpty()) return ChangeAnswer(ChangeStatus.INVALID, present.version, errors)
        val conflicts = ChangeCheck.conflicts(change, present)
        if (conflicts.isEmpty()) return null
        val lines = conflicts.map { LineError(it, "changed since version ${change.base}") }
        return ChangeAnswer(ChangeStatus.CONFLICT, present.version, lines)
    }

    private fun write() {
        if (isWriting) return
        isWriting = true
        scope.launch {
            try {
                while (waiting.isNotEmpty()) writeSome()
            } finally {
                isWriting = false
            }
        }
    }

    /** A change that has been checked, with its stored form. */
    private class Staged(
        val pending: Pending,
        val record: ChangeRecord,
        val value: JsonObject,
    )

    private suspend fun writeSome() {
        val head = live.head
        if (head?.version != live.configuration.version || live.phase != ConfigurationPhase.CURRENT) {
            waiting.removeAll { it.isGivenUp }
            delay(retryMs)
            return
        }
        val modRevision = sharedKeys.modRevision(Keys.CONFIG)
        val batch = stageSome()
        if (batch.isEmpty()) return
        val newest = batch.last().record.version
        val nextHead = ChangeCodec.encode(ConfigurationHead(newest, head.snapshot, head.snapshotParts))
        val group = Put(Keys.configChange(newest), ChangeCodec.group(batch.map { it.value }))
        val transaction =
            Transaction(listOf(Compare(Keys.CONFIG, modRevision)), listOf(Put(Keys.CONFIG, nextHead), group))
        batch.forEach { it.pending.hasLeft = true }
        if (commit(transaction)) live.awaitVersion(newest, answerMs) else catchUp(modRevision)
        for (staged in batch) settle(staged.pending)
        compact()
    }

    /** Takes waiting changes as long as they fit in one value; those that can't be applied are answered here. */
    private suspend fun stageSome(): List<Staged> {
        val batch = ArrayList<Staged>()
        var working = live.configuration
        var bytes = 0
        while (waiting.isNotEmpty() && bytes < settings.valueBytes / 2 - ENVELOPE_BYTES) {
            val pending = waiting.removeFirst()
            if (pending.isGivenUp) continue
            val known = working.versionOf(pending.change.id)
            val answer =
                known?.let { ChangeAnswer(ChangeStatus.APPLIED, it) } ?: refusal(pending.change, working)
            if (answer != null) {
                pending.answer.complete(answer)
                continue
            }
            val record = recordOf(pending.change, working.version + 1)
            val value = store.stage(record)
            if (value == null) {
                pending.answer.complete(ChangeAnswer(ChangeStatus.UNAVAILABLE))
                continue
            }
            bytes += value.toString().length + 1
            batch.add(Staged(pending, record, value))
            working = working.with(record)
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
        var wasSilent = false
        while (true) {
            when (state.transact(transaction.changes.size, Urgency.ACCEPTANCE) { transaction }) {
                is TransactionResult.Applied -> return true
                is TransactionResult.Failed -> return false
                TransactionResult.Unknown -> wasSilent = true
                else -> if (!wasSilent) return false
            }
            delay(retryMs)
        }
    }

    /** Another writer was first, or this one's answer was lost: waits until the newer head is known here. */
    private suspend fun catchUp(modRevision: Long) {
        refreshView()
        if (sharedKeys.modRevision(Keys.CONFIG) == modRevision) delay(retryMs)
        live.head?.let { live.awaitVersion(it.version, answerMs) }
    }

    /** Answers a change whose transaction has ended, or has it tried again. */
    private fun settle(pending: Pending) {
        val version = live.configuration.versionOf(pending.change.id)
        if (version != null) {
            log.info("change {} by {}: {}", version, pending.change.author, pending.change.reason)
            pending.answer.complete(ChangeAnswer(ChangeStatus.APPLIED, version))
        } else if (!pending.isGivenUp) {
            pending.hasLeft = false
            waiting.addFirst(pending)
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
        refreshView()
    }

    companion object {
        private const val RETRIES_A_LEASE = 200
        private const val MOST_WAITING = 1000

        /** What surrounds the changes in their value. */
        private const val ENVELOPE_BYTES = 64

        /** After so many changes a snapshot is written; so many, and as many again, can be rolled back to. */
        const val SNAPSHOT_EVERY = 500
    }
}
