package micatally.archive

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.job.JobRecord
import micatally.job.JobShard
import micatally.job.UnreadableRecord
import micatally.job.decodeRecord
import micatally.membership.Keys
import micatally.membership.Membership
import micatally.settings.Settings
import micatally.state.Compare
import micatally.state.Delete
import micatally.state.KeyValue
import micatally.state.Put
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.state.Write
import micatally.supervision.launchSupervised
import org.slf4j.LoggerFactory

/** Gives the archive access to the loaded shards that this controller leads. */
fun interface LoadedShards {
    /** The shard with this name if this controller leads it and has loaded it, else null. */
    fun loaded(name: String): JobShard?
}

/**
 * Moves the records of jobs that are over from `job/`, which is listed at each start and failover, to `final/`, which
 * is not. Or copies them back, see [ArchiveMode].
 *
 * All records are scanned again and again, so the work of a process that has ended is continued. The writes are limited
 * to a small share of those that this controller may make.
 *
 * Records are moved by transactions with the conditions that the shard still has this leader, that each record is the
 * one read, and that no other process has started meanwhile. So a transaction that is late or repeated changes nothing.
 */
class RecordArchive(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val membership: Membership,
    private val mode: ArchiveMode,
    private val shards: LoadedShards,
) {
    private val log = LoggerFactory.getLogger("micatally.archive")
    private val sharedKeys get() = membership.sharedKeys
    private val hosts = settings.peers.map { it.host } + settings.host
    private val recordsPerTransaction = ArchivePlan.recordsPerTransaction(settings.stateLimits, hosts.size + 1)

    /**
     * The ids of the jobs whose records the state store refuses to write under `final/`, because they are too large.
     */
    private val refusedJobIds = HashSet<String>()

    /**
     * Whether records may be in `final/`. No controller moves any before this host has announced too that it looks
     * there.
     */
    val mayBeUsed get() = mode == ArchiveMode.ON || ArchivePlan.isAnnounced(sharedKeys, settings.host)

    /** Starts the regular scans, unless [mode] is [ArchiveMode.OFF]. Returns at once. */
    fun start() {
        if (mode == ArchiveMode.OFF) return
        if (recordsPerTransaction == 0) {
            log.warn(
                "records are neither archived nor restored: a limit of {} changes a transaction is too low",
                settings.maxOperationsPerTransaction,
            )
            return
        }
        scope.launchSupervised("record archive") {
            while (true) {
                delay(settings.leaseMs * LEASES_BETWEEN_SCANS)
                if (mode == ArchiveMode.ON) archive() else restore()
            }
        }
    }

    /** Moves all records to the archive that may be moved now. */
    private suspend fun archive() {
        announce()
        if (!ArchivePlan.mayMove(sharedKeys, hosts)) return
        val moved = scan(Keys.JOB) { shard, items -> move(shard, items) } ?: return
        if (moved > 0) log.info("{} records of jobs that are over were archived", moved)
    }

    /** Copies all archived records of the shards led here back that are not back yet. */
    private suspend fun restore() {
        val copied = scan(Keys.FINAL) { shard, items -> copyBack(shard, items) } ?: return
        if (copied == 0 && shards.loaded(settings.host) != null) {
            log.info("all archived records of this node's shards are back")
        } else {
            log.info("{} archived records were copied back, or are retried by the next scan", copied)
        }
    }

    /**
     * Announces that this host looks for records in both places. Only a process that leads its host's own shard does
     * so, on the condition that it still leads it: a late write of a former process then fails.
     */
    private suspend fun announce() {
        if (ArchivePlan.isAnnounced(sharedKeys, settings.host)) return
        val key = Keys.archive(settings.host)
        val result =
            state.transact(1, Urgency.SUMMARY) {
                val leader = sharedKeys.leader(settings.host)
                if (leader == null || !membership.holds(settings.host)) return@transact null
                val conditions = listOf(Compare(key, 0), Compare(Keys.shard(settings.host), leader.modRevision))
                Transaction(conditions, listOf(Put(key, buildJsonObject { put("n", 1) })))
            }
        if (result is TransactionResult.Applied) log.info("announced that this host looks for archived records")
    }

    /**
     * Passes the settled records under [prefix] whose shards are loaded here to [process]. They come in batches of one
     * shard each, with pauses between them.
     *
     * @param process handles a batch, and returns how many of its records it counts
     * @return the sum of what [process] returned, or null if not all records could be read
     */
    private suspend fun scan(
        prefix: String,
        process: suspend (JobShard, List<KeyValue>) -> Int,
    ): Int? {
        var after: String? = null
        var count = 0
        while (true) {
            val page = ArrayList<KeyValue>()
            val listing = state.page(prefix, Urgency.SUMMARY, after) { page.addAll(it) } ?: return null
            for ((shard, items) in settledByShard(page, prefix)) count += processBatches(shard, items, process)
            after = listing.lastKey
            if (!listing.hasMore || after == null) return count
        }
    }

    private suspend fun processBatches(
        shard: JobShard,
        items: List<KeyValue>,
        process: suspend (JobShard, List<KeyValue>) -> Int,
    ): Int {
        var count = 0
        for (batch in RecordBatches.split(items, recordsPerTransaction)) {
            if (!shard.isLedHere) break
            count += process(shard, batch)
            delay(pauseMs(batch.size))
        }
        return count
    }

    /** The settled records of [page] that may be moved or copied, by their shards. */
    private fun settledByShard(
        page: List<KeyValue>,
        prefix: String,
    ): Map<JobShard, List<KeyValue>> {
        val found = HashMap<JobShard, MutableList<KeyValue>>()
        for (item in page) {
            val jobId = item.key.removePrefix(prefix)
            val shard = shardOf(jobId, item) ?: continue
            // The record of a job that is still in memory may be written once more.
            if (jobId in shard.jobs || jobId in refusedJobIds) continue
            found.getOrPut(shard) { ArrayList() }.add(item)
        }
        return found
    }

    /**
     * The shard of the job; null if the job is not settled, its record can't be decoded, or its shard is not loaded
     * here.
     */
    private fun shardOf(
        jobId: String,
        item: KeyValue,
    ): JobShard? =
        try {
            decodeRecord(jobId) {
                val record = JobRecord(item.value)
                if (record.isSettled) shards.loaded(record.shard) else null
            }
        } catch (e: UnreadableRecord) {
            log.debug("neither archived nor restored: {}", e.message)
            null
        }

    /** The pause after [records] records, in ms. It keeps the scan within its share of this controller's writes. */
    private fun pauseMs(records: Int): Long {
        val writesPerSecond = settings.stateWriteRps / settings.controllers * ARCHIVE_SHARE_OF_WRITES
        return (records * 2 * MS_PER_SECOND / writesPerSecond).toLong()
    }

    /**
     * Moves the records to the archive.
     *
     * @return how many of the records are only in the archive now
     */
    private suspend fun move(
        shard: JobShard,
        items: List<KeyValue>,
    ): Int {
        val result =
            state.transact(items.size * 2, Urgency.SUMMARY) {
                moveTransaction(
                    shard,
                    items.flatMap { listOf(Compare(it.key, it.modRevision), Compare(finalKey(it), 0)) },
                    items.flatMap { listOf(Delete(it.key), Put(finalKey(it), it.value)) },
                )
            }
        return when (result) {
            is TransactionResult.Applied -> items.size
            is TransactionResult.Failed -> {
                val restored = items.filter { finalKey(it) in result.keys }
                restored.count { deleteRestoredCopy(shard, it) }
            }
            is TransactionResult.TooLarge -> moveOneByOne(shard, items)
            else -> 0
        }
    }

    /** A transaction that moves records of the shard; null if this process may not move them now. */
    private fun moveTransaction(
        shard: JobShard,
        recordConditions: List<Compare>,
        writes: List<Write>,
    ): Transaction? {
        if (!shard.isLedHere || !ArchivePlan.mayMove(sharedKeys, hosts)) return null
        return Transaction(
            recordConditions + leaderCondition(shard) + ArchivePlan.conditions(sharedKeys, hosts),
            writes,
        )
    }

    /** The condition that this process still leads the shard in the same term of leadership. */
    private fun leaderCondition(shard: JobShard) = Compare(Keys.shard(shard.name), shard.leader.modRevision)

    /**
     * Deletes a record under `job/` that was copied back from the archive, where it still is, if both have the same
     * value.
     *
     * @return whether it was deleted
     */
    private suspend fun deleteRestoredCopy(
        shard: JobShard,
        item: KeyValue,
    ): Boolean {
        val archived = state.get(finalKey(item), Urgency.SUMMARY)
        if (archived !is ReadResult.Found || archived.item.value != item.value) return false
        val result =
            state.transact(1, Urgency.SUMMARY) {
                moveTransaction(
                    shard,
                    listOf(
                        Compare(item.key, item.modRevision),
                        Compare(finalKey(item), archived.item.modRevision),
                    ),
                    listOf(Delete(item.key)),
                )
            }
        return result is TransactionResult.Applied
    }

    /**
     * Moves the records one by one, after a transaction with all of them was too large. A record that is too large even
     * alone stays where it is, and is not tried again by this process: the limits may have been lowered since it was
     * written.
     */
    private suspend fun moveOneByOne(
        shard: JobShard,
        items: List<KeyValue>,
    ): Int {
        if (items.size > 1) return items.sumOf { move(shard, listOf(it)) }
        refusedJobIds.add(items.single().key.removePrefix(Keys.JOB))
        return 0
    }

    /**
     * Copies the records back to `job/`. Those that are there already are left as they are.
     *
     * @return how many of the records were copied, or may still have to be copied
     */
    private suspend fun copyBack(
        shard: JobShard,
        items: List<KeyValue>,
    ): Int {
        val result =
            state.transact(items.size, Urgency.SUMMARY) {
                if (!shard.isLedHere) return@transact null
                val recordConditions = items.flatMap { listOf(Compare(jobKey(it), 0), Compare(it.key, it.modRevision)) }
                Transaction(recordConditions + leaderCondition(shard), items.map { Put(jobKey(it), it.value) })
            }
        return when (result) {
            is TransactionResult.Applied -> items.size
            is TransactionResult.Failed -> {
                val missing = items.filter { jobKey(it) !in result.keys }
                when {
                    missing.isEmpty() -> 0
                    missing.size < items.size -> copyBack(shard, missing)
                    // The shard has another leader now, so it is not known whether the records are back.
                    else -> items.size
                }
            }
            else -> items.size
        }
    }

    private fun finalKey(item: KeyValue) = Keys.final(item.key.removePrefix(Keys.JOB))

    private fun jobKey(item: KeyValue) = Keys.job(item.key.removePrefix(Keys.FINAL))

    private companion object {
        const val LEASES_BETWEEN_SCANS = 2

        /** The share of this controller's writes a second that a scan may use. */
        const val ARCHIVE_SHARE_OF_WRITES = 0.125
        const val MS_PER_SECOND = 1000.0
    }
}
