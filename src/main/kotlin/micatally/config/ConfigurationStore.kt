package micatally.config

import kotlinx.serialization.json.JsonObject
import micatally.membership.Keys
import micatally.state.Delete
import micatally.state.KeyValue
import micatally.state.Put
import micatally.state.ReadResult
import micatally.state.StateLimits
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.state.Write

/** The result of reading the stored head. */
sealed interface HeadRead {
    /** The head as it is stored now. */
    class Found(
        val head: ConfigurationHead,
    ) : HeadRead

    /** The configuration has not been stored yet. */
    data object Missing : HeadRead

    /** The state store gave no usable response. */
    data object Unavailable : HeadRead
}

/**
 * Reads and writes the configuration in the state store. It consists of:
 * - the head, which all controllers watch;
 * - one immutable value for each batch of changes. Its key contains the version of the batch's last change, and it is
 *   written in one transaction with the head;
 * - parts, which hold the teams and removals of a large change;
 * - snapshots, which are written at intervals so that a starting controller reads a bounded number of changes.
 */
class ConfigurationStore(
    private val state: StateStoreClient,
    private val limits: StateLimits,
    /**
     * The name of this process. It keeps the keys of the parts that it writes distinct from those of other processes.
     */
    private val process: String,
) {
    private var stageCount = 0L

    /** Reads the head from the state store, not from the cached shared keys. */
    suspend fun head(): HeadRead =
        when (val read = state.get(Keys.CONFIG, Urgency.ACCEPTANCE)) {
            is ReadResult.Found -> HeadRead.Found(ChangeCodec.head(read.item.value))
            ReadResult.Missing -> HeadRead.Missing
            ReadResult.Unavailable -> HeadRead.Unavailable
        }

    /** Returns the newest snapshot with all later changes applied; null if some value can't be read now. */
    suspend fun load(head: ConfigurationHead): Configuration? {
        if (head.snapshot == 0L) return applyLaterChanges(Configuration.EMPTY)
        return applyLaterChanges(readSnapshot(head.snapshot, head.snapshotParts) ?: return null)
    }

    private suspend fun readSnapshot(
        version: Long,
        parts: Int,
    ): Configuration? {
        val items = state.list(Keys.configSnapshot(version), Urgency.LEASE)?.items ?: return null
        if (items.size != parts) return null
        return Configuration.of(version, items.flatMap { ChangeCodec.entries(it.value) })
    }

    /**
     * Returns [from] with all later changes up to version [last] applied; null if they can't be read now or have been
     * pruned.
     */
    suspend fun applyLaterChanges(
        from: Configuration,
        last: Long = Long.MAX_VALUE,
    ): Configuration? {
        var configuration = from
        for (change in readChangesAfter(from.version) ?: return null) {
            if (configuration.version == last) break
            if (change.record.version != configuration.version + 1) return null
            configuration = configuration.with(completeRecord(change) ?: return null)
        }
        return configuration
    }

    /** Returns the configuration at [version]; null if it can't be read now or has been pruned. */
    suspend fun readVersion(
        version: Long,
        head: ConfigurationHead,
    ): Configuration? {
        val start = newestSnapshotUpTo(version, head) ?: return null
        return applyLaterChanges(start, last = version)?.takeIf { it.version == version }
    }

    /**
     * Returns the newest stored snapshot that is not newer than [version], or the empty configuration if there is none;
     * null if the snapshots can't be read now.
     */
    private suspend fun newestSnapshotUpTo(
        version: Long,
        head: ConfigurationHead,
    ): Configuration? {
        if (head.snapshot == 0L) return Configuration.EMPTY
        val items = state.list(Keys.CONFIG_SNAPSHOT, Urgency.ACCEPTANCE)?.items ?: return null
        val usable = items.groupBy { snapshotVersion(it) }.filterKeys { it <= version }
        val newest = usable.maxByOrNull { it.key }
        if (newest != null) return Configuration.of(newest.key, newest.value.flatMap { ChangeCodec.entries(it.value) })
        return Configuration.EMPTY
    }

    private fun snapshotVersion(item: KeyValue) =
        item.key
            .removePrefix(Keys.CONFIG_SNAPSHOT)
            .substringBefore('/')
            .toLong()

    /**
     * Returns the stored changes after version [newest] - [count], newest first; null if they can't be read now. A
     * change whose parts can't be read is returned without its teams and removals.
     */
    suspend fun history(
        newest: Long,
        count: Int,
    ): List<ChangeRecord>? =
        readChangesAfter(maxOf(0L, newest - count))
            ?.map { completeRecord(it) ?: it.record }
            ?.sortedByDescending { it.version }

    private suspend fun readChangesAfter(version: Long): List<StoredChange>? =
        state
            .list(Keys.CONFIG_CHANGE, Urgency.LEASE, after = Keys.configChange(version))
            ?.items
            ?.flatMap { ChangeCodec.changes(it.value) }
            ?.filter { it.record.version > version }

    /** Returns the change with the content of its parts; null if they can't be read now. */
    private suspend fun completeRecord(change: StoredChange): ChangeRecord? {
        if (change.parts == 0) return change.record
        val items = state.list(Keys.configPart(change.stage), Urgency.LEASE)?.items ?: return null
        return if (items.size == change.parts) ChangeCodec.joined(change, items.map { it.value }) else null
    }

    /**
     * Prepares a change for its commit. If its encoded form is larger than half of the value limit, its teams and
     * removals are first written as parts under keys of their own. Nothing refers to the parts until the change itself
     * is committed. The parts of a change that is never committed stay in the state store.
     *
     * @return the encoded change, at most half as large as the value limit; null if the parts could not be written
     */
    suspend fun stage(change: ChangeRecord): JsonObject? {
        val plain = ChangeCodec.encode(change)
        if (plain.toString().length <= limits.valueBytes / 2) return plain
        val parts = ChangeCodec.parts(change, limits.valueBytes)
        val stage = "$process-${stageCount++}"
        if (!writeParts(Keys.configPart(stage), parts, Urgency.ACCEPTANCE)) return null
        return ChangeCodec.encode(change, parts.size, stage)
    }

    /**
     * Writes a snapshot. This is idempotent, because the content depends on the version alone.
     *
     * @return the number of values written; null if one of the writes was not confirmed
     */
    suspend fun writeSnapshot(configuration: Configuration): Int? {
        val parts = ChangeCodec.snapshot(configuration, limits.valueBytes)
        return if (writeParts(Keys.configSnapshot(configuration.version), parts, Urgency.SUMMARY)) parts.size else null
    }

    /**
     * Writes the values one after the other under numbered keys. Stops and returns false if a write is not confirmed.
     */
    private suspend fun writeParts(
        prefix: String,
        parts: List<JsonObject>,
        urgency: Urgency,
    ): Boolean {
        for ((index, part) in parts.withIndex()) {
            val put = Put(prefix + "%04d".format(index), part)
            val result = state.transact(1, urgency) { Transaction(emptyList(), listOf(put)) }
            if (result !is TransactionResult.Applied) return false
        }
        return true
    }

    /**
     * Deletes all changes up to [version], their parts, and the snapshots before [version]. A starting controller does
     * not need them once a snapshot of [version] or a newer one exists.
     */
    suspend fun prune(version: Long) {
        val changes = state.list(Keys.CONFIG_CHANGE, Urgency.SUMMARY)?.items ?: return
        val snapshots = state.list(Keys.CONFIG_SNAPSHOT, Urgency.SUMMARY)?.items ?: return
        val prunableChanges = changes.filter { it.key <= Keys.configChange(version) }
        val parts =
            prunableChanges
                .flatMap { ChangeCodec.changes(it.value) }
                .filter { it.parts > 0 }
                .flatMap { change -> state.list(Keys.configPart(change.stage), Urgency.SUMMARY)?.items ?: return }
        val deletes: List<Write> =
            (prunableChanges + parts + snapshots.filter { snapshotVersion(it) < version }).map { Delete(it.key) }
        for (batch in deletes.chunked(limits.maxOperationsPerTransaction)) {
            state.transact(batch.size, Urgency.SUMMARY) { Transaction(emptyList(), batch) }
        }
    }
}
