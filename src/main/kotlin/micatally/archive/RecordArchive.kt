package micatally.archive

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.job.JobRecord
import micatally.job.JobShard
import micatally.job.UnreadableRecord
import micatally.job.readable
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
import org.slf4j.LoggerFactory

/** The shards that this controller leads, as the archive sees them. */
fun interface LoadedShards {
    /** The shard if this controller leads it and has loaded it, else null. */
    fun loaded(name: String): JobShard?
}

/**
 * Moves the records of jobs that are over from `job/`, which is listed at each start and failover, to `final/`, which is not; or
 * copies them back, see [ArchiveMode]. It walks through all records again and again, at a small share of the writes that this
 * controller may make, and so continues where another process has stopped.
 *
 * Each move is one transaction, on the conditions that the shard still has this leader, that the record is the one read, and
 * that no other process has started: a transaction that is late or repeated changes nothing.
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

    /** Jobs whose records the state service does not take at the other place. */
    private val refusedJobIds = HashSet<String>()

    /** Whether a record may be in `final/`: no controller moves any before this host, too, has announced that it looks there. */
    val mayBeUsed get() = mode == ArchiveMode.ON || ArchivePlan.isAnnounced(sharedKeys, settings.host)

    /** Starts the walks, unless [mode] is [ArchiveMode.OFF]. Returns at once. */
    fun start() {
        if (mode == ArchiveMode.OFF) return
        if (recordsPerTransaction == 0) {
            log.warn(
                "records are not archived: {} changes a transaction are too few",
                settings.maxOperationsPerTransaction,
            )
            return
        }
        scope.launch {
            while (true) {
                delay(settings.leaseMs * LEASES_BETWEEN_PASSES)
                if (mode == ArchiveMode.ON) archive() else restore()
            }
        }
    }

    private suspend fun archive() {
        announce()
        if (!ArchivePlan.mayMove(sharedKeys, hosts)) return
        val moved = scan(Keys.JOB) { shard, items -> move(shard, items) } ?: return
        if (moved > 0) log.info("{} records of jobs that are over were archived", moved)
    }

    private suspend fun restore() {
        val copied = scan(Keys.FINAL) { shard, items -> copyBack(shard, items) } ?: return
        if (copied == 0 && shards.loaded(settings.host) != null) {
            log.info("all archived records of this node's shards are back")
        } else {
            log.info("{} archived records were copied back, or are still to be", copied)
        }
    }

    /** Only a process that leads its own shard announces: a late write of a former process then fails on that condition. */
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
     * Passes the settled records under [prefix] to [process] in batches of one shard each, with pauses between them.
     *
     * @param process handles a batch and returns how many of its records it dealt with
     * @return how many records were dealt with, or null if not all could be read
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

    private fun settledByShard(
        page: List<KeyValue>,
        prefix: String,
    ): Map<JobShard, List<KeyValue>> {
        val found = HashMap<JobShard, MutableList<KeyValue>>()
        for (item in page) {
            val jobId = item.key.removePrefix(prefix)
            val shard = shardOf(jobId, item) ?: continue
            // A job that is still in memory may be written once more.
            if (jobId in shard.jobs || jobId in refusedJobIds) continue
            found.getOrPut(shard) { ArrayList() }.add(item)
        }
        return found
    }

    /** Null if the job is open, its record unreadable, or its shard not loaded here. */
    private fun shardOf(
        jobId: String,
        item: KeyValue,
    ): JobShard? =
        try {
            readable(jobId) {
                val record = JobRecord(item.value)
                if (record.isSettled) shards.loaded(record.shard) else null
            }
        } catch (e: UnreadableRecord) {
            log.debug("not archived: {}", e.message)
            null
        }

    /** The pause that keeps the walk to its share of the writes that this controller may make. */
    private fun pauseMs(records: Int): Long {
        val writesPerSecond = settings.stateWriteRps / settings.controllers * ARCHIVE_SHARE_OF_WRITES
        return (records * 2 * MS_PER_SECOND / writesPerSecond).toLong()
    }

    /** @return how many of the records are in the archive alone now */
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

    /** Null if records of the shard may not be moved by this process, or not at this time. */
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

    /** Holds while the shard has the leader that it has now, which is this process. */
    private fun leaderCondition(shard: JobShard) = Compare(Keys.shard(shard.name), shard.leader.modRevision)

    /** A record that was copied back is in both places. The copy is deleted if the archive has the same value. */
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
     * Moves the records one by one. One that is too large even alone stays where it is: the limits may have been lowered since
     * it was written.
     */
    private suspend fun moveOneByOne(
        shard: JobShard,
        items: List<KeyValue>,
    ): Int {
        if (items.size > 1) return items.sumOf { move(shard, listOf(it)) }
        refusedJobIds.add(items.single().key.removePrefix(Keys.JOB))
        return 0
    }

    /** @return how many of the records were copied, or may still have to be */
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
                    // The shard has another leader now; whether the records are there is not known.
                    else -> items.size
                }
            }
            else -> items.size
        }
    }

    private fun finalKey(item: KeyValue) = Keys.final(item.key.removePrefix(Keys.JOB))

    private fun jobKey(item: KeyValue) = Keys.job(item.key.removePrefix(Keys.FINAL))

    private companion object {
        const val LEASES_BETWEEN_PASSES = 2
        const val ARCHIVE_SHARE_OF_WRITES = 0.125
        const val MS_PER_SECOND = 1000.0
    }
}
