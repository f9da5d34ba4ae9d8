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
import micatally.state.StateLimits
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import org.slf4j.LoggerFactory

/** The shards whose jobs this node knows, and the jobs that it still has to do with. */
interface LoadedShards {
    /** The shard if this node holds it and has loaded it. */
    fun loaded(name: String): JobShard?
}

/**
 * Moves the records of jobs that are over from `job/`, which a start or takeover lists, to `final/`, which it does not; or
 * copies them back. Works through all records again and again at a small share of this node's changes, so it goes on where
 * another process left off. Each move is one transaction on the condition that the shard is held, that the record is the
 * one read, and that no other process has come: late and repeated ones change nothing.
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
    private val recordsAtOnce = ArchivePlan.recordsAtOnce(settings.stateLimits, hosts.size + 1)

    /** Records that the state service does not take at the other place. */
    private val refused = HashSet<String>()

    /** Whether a record may be in `final/`: only if this host, too, has announced that it looks there. */
    val mayBeUsed get() = mode == ArchiveMode.ON || ArchivePlan.isAnnounced(sharedKeys, settings.host)

    fun start() {
        if (mode == ArchiveMode.OFF) return
        if (recordsAtOnce == 0) {
            log.warn(
                "records are not archived: {} changes a transaction are too few",
                settings.maxOperationsPerTransaction,
            )
            return
        }
        scope.launch {
            while (true) {
                delay(settings.leaseMs * LEASES_BETWEEN_WALKS)
                if (mode == ArchiveMode.ON) archive() else restore()
            }
        }
    }

    private suspend fun archive() {
        announce()
        if (!ArchivePlan.mayMove(sharedKeys, hosts)) return
        val moved = walk(Keys.JOB) { shard, some -> move(shard, some) } ?: return
        if (moved > 0) log.info("{} records of jobs that are over were archived", moved)
    }

    private suspend fun restore() {
        val copied = walk(Keys.FINAL) { shard, some -> copyBack(shard, some) } ?: return
        if (copied == 0 && shards.loaded(settings.host) != null) {
            log.info("all archived records of this node's shards are back")
        } else {
            log.info("{} archived records were copied back, or are still to be", copied)
        }
    }

    /** Only by a process that holds its own shard: what a former one wrote, and comes late, then fails on the shard. */
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

    /** Hands the settled records under [prefix] to [act], those of one shard together; returns how many it dealt with, or
     * null if not all could be read. */
    private suspend fun walk(
        prefix: String,
        act: suspend (JobShard, List<KeyValue>) -> Int,
    ): Int? {
        var after: String? = null
        var count = 0
        while (true) {
            val page = ArrayList<KeyValue>()
            val listing = state.page(prefix, Urgency.SUMMARY, after) { page.addAll(it) } ?: return null
            for ((shard, items) in settledByLedger(page, prefix)) {
                for (some in batches(items)) {
                    if (!shard.isLedHere) break
                    count += act(shard, some)
                    delay(pauseMs(some.size))
                }
            }
            after = listing.lastKey
            if (!listing.hasMore || after == null) return count
        }
    }

    private fun settledByLedger(
        page: List<KeyValue>,
        prefix: String,
    ): Map<JobShard, List<KeyValue>> {
        val found = HashMap<JobShard, MutableList<KeyValue>>()
        for (item in page) {
            val jobId = item.key.removePrefix(prefix)
            val shard = shardOf(jobId, item) ?: continue
            // A job that this node still knows may be written once more.
            if (jobId in shard.jobs || jobId in refused) continue
            found.getOrPut(shard) { ArrayList() }.add(item)
        }
        return found
    }

    /** Null if the record is open, unreadable, or of a shard that this node does not hold. */
    private fun shardOf(
        jobId: String,
        item: KeyValue,
    ): JobShard? =
        try {
            readable(
                jobId,
            ) { if (JobRecord.isSettled(item.value)) shards.loaded(JobRecord.shardOf(item.value)) else null }
        } catch (e: UnreadableRecord) {
            log.debug("not archived: {}", e.message)
            null
        }

    /** As many as fit in a transaction, by count and by size. */
    private fun batches(items: List<KeyValue>): List<List<KeyValue>> {
        val batches = ArrayList<MutableList<KeyValue>>()
        var bytes = 0
        for (item in items) {
            val size = item.value.toString().length + KEY_BYTES
            val last = batches.lastOrNull()
            if (last == null || last.size >= recordsAtOnce || bytes + size > StateLimits.TRANSACTION_BYTES) {
                batches.add(arrayListOf(item))
                bytes = size
            } else {
                last.add(item)
                bytes += size
            }
        }
        return batches
    }

    /** Keeps to a share of the changes that this node may make. */
    private fun pauseMs(records: Int): Long {
        val changesASecond = settings.stateWriteRps / settings.controllers * SHARE_OF_WRITES
        return (records * 2 * MS_A_SECOND / changesASecond).toLong()
    }

    private suspend fun move(
        shard: JobShard,
        items: List<KeyValue>,
    ): Int {
        val result =
            state.transact(items.size * 2, Urgency.SUMMARY) {
                if (!shard.isLedHere || !ArchivePlan.mayMove(sharedKeys, hosts)) return@transact null
                val conditions =
                    items.flatMap { listOf(Compare(it.key, it.modRevision), Compare(finalKey(it), 0)) } +
                        Compare(Keys.shard(shard.name), shard.leader.modRevision) +
                        ArchivePlan.conditions(sharedKeys, hosts)
                Transaction(conditions, items.flatMap { listOf(Delete(it.key), Put(finalKey(it), it.value)) })
            }
        return when (result) {
            is TransactionResult.Applied -> items.size
            is TransactionResult.Failed -> {
                val restored = items.filter { finalKey(it) in result.keys }
                restored.count { removeCopy(shard, it) }
            }
            is TransactionResult.TooLarge -> tooLarge(shard, items)
            else -> 0
        }
    }

    /** What was copied back is in both places; the copy goes, if the archive has the same. */
    private suspend fun removeCopy(
        shard: JobShard,
        item: KeyValue,
    ): Boolean {
        val final = state.get(finalKey(item), Urgency.SUMMARY)
        if (final !is ReadResult.Found || final.item.value != item.value) return false
        val result =
            state.transact(1, Urgency.SUMMARY) {
                if (!shard.isLedHere || !ArchivePlan.mayMove(sharedKeys, hosts)) return@transact null
                val conditions =
                    listOf(
                        Compare(item.key, item.modRevision),
                        Compare(finalKey(item), final.item.modRevision),
                        Compare(Keys.shard(shard.name), shard.leader.modRevision),
                    ) + ArchivePlan.conditions(sharedKeys, hosts)
                Transaction(conditions, listOf(Delete(item.key)))
            }
        return result is TransactionResult.Applied
    }

    /** The limits may have been lowered since the record was written: it stays where it is. */
    private suspend fun tooLarge(
        shard: JobShard,
        items: List<KeyValue>,
    ): Int {
        if (items.size > 1) return items.sumOf { move(shard, listOf(it)) }
        refused.add(items.single().key.removePrefix(Keys.JOB))
        return 0
    }

    private suspend fun copyBack(
        shard: JobShard,
        items: List<KeyValue>,
    ): Int {
        val result =
            state.transact(items.size, Urgency.SUMMARY) {
                if (!shard.isLedHere) return@transact null
                val conditions =
                    items.flatMap { listOf(Compare(jobKey(it), 0), Compare(it.key, it.modRevision)) } +
                        Compare(Keys.shard(shard.name), shard.leader.modRevision)
                Transaction(conditions, items.map { Put(jobKey(it), it.value) })
            }
        return when (result) {
            is TransactionResult.Applied -> items.size
            is TransactionResult.Failed -> {
                val missing = items.filter { jobKey(it) !in result.keys }
                when {
                    missing.isEmpty() -> 0
                    missing.size < items.size -> copyBack(shard, missing)
                    // The shard has changed hands; whether they are there is not known.
                    else -> items.size
                }
            }
            else -> items.size
        }
    }

    private fun finalKey(item: KeyValue) = Keys.final(item.key.removePrefix(Keys.JOB))

    private fun jobKey(item: KeyValue) = Keys.job(item.key.removePrefix(Keys.FINAL))

    private companion object {
        const val LEASES_BETWEEN_WALKS = 2
        const val SHARE_OF_WRITES = 0.125
        const val MS_A_SECOND = 1000.0

        /** The keys and conditions of one record in a transaction. */
        const val KEY_BYTES = 250
    }
}
