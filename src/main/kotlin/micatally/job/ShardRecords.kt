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
 * A job's record as it was read for the load of a shard.
 *
 * @property stored the main value
 * @property plain its unpacked form; null for a job of another shard, or one present already, whose values are not all of one
 * revision
 */
class ShardRecord(
    val jobId: String,
    val stored: JobRecord,
    val plain: JobRecord?,
    val modRevision: Long,
)

/** Thrown if the record of a job can't be understood: it is damaged, or of a form that this program does not know. */
class UnreadableRecord(
    jobId: String,
    cause: Exception,
) : Exception("the record of job $jobId can't be read: $cause", cause)

/**
 * Runs [read], which decodes the record of a job, and returns its result.
 *
 * @throws UnreadableRecord if [read] throws what the decoders throw for a record that they can't understand
 */
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

    /** Jobs of other shards whose unreadable records have been logged. */
    private val loggedJobIds = HashSet<String>()

    /**
     * Reads the records that need action: those of the shard's jobs that are not settled, and those of cancelled jobs of other
     * shards. Jobs that are over stay in the state service for good, so there are far more of them than fit in memory: those
     * of the shard are passed to [onSettled] as they are read, and not kept.
     *
     * @return null if the state service could not be read, or changed meanwhile
     * @throws UnreadableRecord if a record of the shard can't be understood
     */
    suspend fun read(
        shard: JobShard,
        onSettled: (jobId: String, record: JobRecord) -> Unit,
    ): List<ShardRecord>? {
        val toLoad = ArrayList<KeyValue>()
        state.eachPage(Keys.JOB, Urgency.LEASE) { page ->
            for (item in page) visit(item, shard, toLoad, onSettled)
        } ?: return null
        return unpackAll(toLoad, shard)
    }

    /**
     * An unreadable record of another shard is its leader's concern, and only logged: the tasks of cancelled jobs are listed in
     * the shared keys too.
     */
    private fun visit(
        item: KeyValue,
        shard: JobShard,
        toLoad: MutableList<KeyValue>,
        onSettled: (jobId: String, record: JobRecord) -> Unit,
    ) {
        try {
            readable(jobIdOf(item)) { classify(item, shard, toLoad, onSettled) }
        } catch (e: UnreadableRecord) {
            if (JobRecord(item.value).shardOrNull == shard.name) throw e
            if (loggedJobIds.add(jobIdOf(item))) log.error("{}", e.message)
        }
    }

    private fun classify(
        item: KeyValue,
        shard: JobShard,
        toLoad: MutableList<KeyValue>,
        onSettled: (jobId: String, record: JobRecord) -> Unit,
    ) {
        val record = JobRecord(item.value)
        val isOwn = record.shard == shard.name
        if (!record.isSettled) {
            if (isOwn || record.state == JobState.CANCELLED) toLoad.add(item)
        } else if (isOwn) {
            onSettled(jobIdOf(item), record)
        }
    }

    private fun jobIdOf(item: KeyValue) = item.key.removePrefix(Keys.JOB)

    /**
     * Unpacks the records. The further values of a record have its revision, since one transaction writes them. Nobody else
     * writes records of a shard that is led here, so for those the two listings agree.
     *
     * @return null if they don't, so that they are to be read again
     */
    private suspend fun unpackAll(
        items: List<KeyValue>,
        shard: JobShard,
    ): List<ShardRecord>? {
        val hasOverflow = items.any { RecordPacking.overflowCount(it.value) > 0 }
        val parts = if (hasOverflow) state.list(Keys.JOB_PART, Urgency.LEASE) ?: return null else null
        val partByKey = parts?.items?.associateBy { it.key } ?: emptyMap()
        return items.map { item ->
            val jobId = jobIdOf(item)
            val isOwn = JobRecord(item.value).shard == shard.name
            val partCount = RecordPacking.overflowCount(item.value)
            val overflow = (0 until partCount).mapNotNull { partByKey[Keys.jobPart(jobId, it)] }
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
