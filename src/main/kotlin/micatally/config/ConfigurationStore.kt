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

/** What became of looking at the stored head. */
sealed interface HeadRead {
    class Found(
        val head: ConfigurationHead,
    ) : HeadRead

    /** The configuration has not been stored yet. */
    data object Missing : HeadRead

    data object Unavailable : HeadRead
}

/**
 * The configuration in the state service: a head that all controllers watch, one immutable value for each group of changes
 * that were written together, named by the last of them, and now and then a snapshot, so that a start reads a bounded
 * number of changes. Changes are written in one transaction with the head.
 */
class ConfigurationStore(
    private val state: StateStoreClient,
    private val limits: StateLimits,
    /** Names this process, so that no two ever write the same values of a large change. */
    private val process: String,
) {
    private var stageCount = 0L

    suspend fun head(): HeadRead =
        when (val read = state.get(Keys.CONFIG, Urgency.ACCEPTANCE)) {
            is ReadResult.Found -> HeadRead.Found(ChangeCodec.head(read.item.value))
            ReadResult.Missing -> HeadRead.Missing
            ReadResult.Unavailable -> HeadRead.Unavailable
        }

    /** Everything from the newest snapshot on; null if it can't be read whole now. */
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

    /** [from] with all later changes up to [last]; null if they can't be read now or are not there any more. */
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

    /** The configuration as it was at [version]; null if it can't be read or is too old to be known. */
    suspend fun readVersion(
        version: Long,
        head: ConfigurationHead,
    ): Configuration? {
        val start = startBefore(version, head) ?: return null
        return applyLaterChanges(start, last = version)?.takeIf { it.version == version }
    }

    private suspend fun startBefore(
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

    /** The last changes, newest first; null if they can't be read now. */
    suspend fun history(
        newest: Long,
        count: Int,
    ): List<ChangeRecord>? =
        readChangesAfter(maxOf(0L, newest - count))?.map { completeRecord(it) ?: it.record }?.sortedByDescending { it.version }

    private suspend fun readChangesAfter(version: Long): List<StoredChange>? =
        state
            .list(Keys.CONFIG_CHANGE, Urgency.LEASE, after = Keys.configChange(version))
            ?.items
            ?.flatMap { ChangeCodec.changes(it.value) }
            ?.filter { it.record.version > version }

    private suspend fun completeRecord(change: StoredChange): ChangeRecord? {
        if (change.parts == 0) return change.record
        val items = state.list(Keys.configPart(change.stage), Urgency.LEASE)?.items ?: return null
        return if (items.size == change.parts) ChangeCodec.joined(change, items.map { it.value }) else null
    }

    /**
     * Prepares a change for its commit: one that is too large for a value has its teams written apart first, where nobody
     * looks until the change itself is stored. They stay if it never is.
     *
     * @return the form to store, at most half a value; null if the parts could not be written
     */
    suspend fun stage(change: ChangeRecord): JsonObject? {
        val plain = ChangeCodec.encode(change)
        if (plain.toString().length <= limits.valueBytes / 2) return plain
        val parts = ChangeCodec.parts(change, limits.valueBytes)
        val stage = "$process-${stageCount++}"
        for ((index, part) in parts.withIndex()) {
            val put = Put(Keys.configPart(stage) + "%04d".format(index), part)
            if (state.transact(
                    1,
                    Urgency.ACCEPTANCE,
                ) { Transaction(emptyList(), listOf(put)) } !is TransactionResult.Applied
            ) {
                return null
            }
        }
        return ChangeCodec.encode(change, parts.size, stage)
    }

    /** Writes a snapshot's values; the same version has the same content, whoever writes it and however often. */
    suspend fun writeSnapshot(configuration: Configuration): Int? {
        val parts = ChangeCodec.snapshot(configuration, limits.valueBytes)
        for ((index, part) in parts.withIndex()) {
            val put = Put(Keys.configSnapshot(configuration.version) + "%04d".format(index), part)
            if (state.transact(
                    1,
                    Urgency.SUMMARY,
                ) { Transaction(emptyList(), listOf(put)) } !is TransactionResult.Applied
            ) {
                return null
            }
        }
        return parts.size
    }

    /** Removes what a start does not need any more: changes up to [version] and the snapshots before it. */
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
