package micatally.job

import kotlinx.coroutines.CancellationException
import micatally.membership.Keys
import micatally.state.KeyValue
import micatally.state.StateStoreClient
import micatally.state.Urgency
import micatally.wire.MalformedMessage
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * A job's record as it was read.
 *
 * @property plain its unpacked form; null for open and done jobs of other shards, which nobody asks for here
 */
class ShardRecord(
    val jobId: String,
    val stored: JobRecord,
    val plain: JobRecord?,
    val modRevision: Long,
)

/** The record of a job can't be understood: it is damaged, or of a form that this program does not know. */
class UnreadableRecord(
    jobId: String,
    cause: Exception,
) : Exception("the record of job $jobId can't be read: $cause", cause)

/** What [read] makes of a job's record.
 *
 * @throws UnreadableRecord if nothing can be made of it */
inline fun <T> readable(
    jobId: String,
    read: () -> T,
): T =
    try {
        read()
    } catch (e: CancellationException) {
        throw e
    } catch (e: MalformedMessage) {
        throw UnreadableRecord(jobId, e)
    } catch (e: IllegalArgumentException) {
        // Also what the decoders of JSON and of Base64 throw.
        throw UnreadableRecord(jobId, e)
    } catch (e: IOException) {
        throw UnreadableRecord(jobId, e)
    }

/** Reads the records of jobs for a shard that has just been acquired. */
class ShardRecords(
    private val state: StateStoreClient,
) {
    private val log = LoggerFactory.getLogger("micatally.job")

    /** Records of other shards that have been named in the log. */
    private val unreadable = HashSet<String>()

    /**
     * The records that something may still have to be done for: those of the shard, and cancelled ones of others; null if
     * they could not be read. Jobs that are over stay in the state service for good, so that there are far more of them than
     * fit in memory: the shard's are shown to [onSettled] as they come, and not kept.
     */
    suspend fun of(
        shard: JobShard,
        onSettled: (jobId: String, record: JobRecord) -> Unit,
    ): List<ShardRecord>? {
        val open = ArrayList<KeyValue>()
        state.eachPage(Keys.JOB, Urgency.LEASE) { page ->
            for (item in page) visit(item, shard, open, onSettled)
        } ?: return null
        return unpacked(open, shard)
    }

    /** What can't be read of another shard is its holder's matter: the tasks of its cancelled jobs stand in kill lists too. */
    private fun visit(
        item: KeyValue,
        shard: JobShard,
        open: MutableList<KeyValue>,
        onSettled: (jobId: String, record: JobRecord) -> Unit,
    ) {
        try {
            readable(jobIdOf(item)) { sort(item, shard, open, onSettled) }
        } catch (e: UnreadableRecord) {
            if (JobRecord(item.value).shardOrNull == shard.name) throw e
            if (unreadable.add(jobIdOf(item))) log.error("{}", e.message)
        }
    }

    private fun sort(
        item: KeyValue,
        shard: JobShard,
        open: MutableList<KeyValue>,
        onSettled: (jobId: String, record: JobRecord) -> Unit,
    ) {
        val record = JobRecord(item.value)
        val isOwn = record.shard == shard.name
        if (!record.isSettled) {
            if (isOwn || record.state == JobState.CANCELLED) open.add(item)
        } else if (isOwn) {
            onSettled(jobIdOf(item), record)
        }
    }

    private fun jobIdOf(item: KeyValue) = item.key.removePrefix(Keys.JOB)

    /**
     * A record's further values have its revision, since one transaction writes them. Nobody else writes records of a shard
     * that is held, so for those the two listings agree; null if they don't.
     */
    private suspend fun unpacked(
        items: List<KeyValue>,
        shard: JobShard,
    ): List<ShardRecord>? {
        val isSplit = items.any { RecordPacking.overflowCount(it.value) > 0 }
        val parts = if (isSplit) state.list(Keys.JOB_PART, Urgency.LEASE) ?: return null else null
        val partOf = parts?.items?.associateBy { it.key } ?: emptyMap()
        return items.map { item ->
            val jobId = jobIdOf(item)
            val isOwn = JobRecord(item.value).shard == shard.name
            val partCount = RecordPacking.overflowCount(item.value)
            val overflow = (0 until partCount).mapNotNull { partOf[Keys.jobPart(jobId, it)] }
            val isWhole = overflow.size == partCount && overflow.all { it.modRevision == item.modRevision }
            if (!isWhole && isOwn && jobId !in shard.jobs) return null
            val plain =
                if (isWhole) {
                    readable(
                        jobId,
                    ) { JobRecord(RecordPacking.unpack(item.value, overflow.map { it.value })) }
                } else {
                    null
                }
            ShardRecord(jobId, JobRecord(item.value), plain, item.modRevision)
        }
    }
}
