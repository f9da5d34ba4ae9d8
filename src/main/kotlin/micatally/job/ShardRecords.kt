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
 * A job's record as it was read to load a shard.
 *
 * @property stored the main value of the record, which may be compressed
 * @property plain the unpacked record; null if the values that were read are not all of one revision. That happens only
 * for jobs of other shards, and for jobs that are in memory already
 * @property modRevision the revision of the main value
 */
class ShardRecord(
    val jobId: String,
    val stored: JobRecord,
    val plain: JobRecord?,
    val modRevision: Long,
)

/** Thrown if the record of a job can't be decoded: it is damaged, or has a form that this program does not know. */
class UnreadableRecord(
    jobId: String,
    cause: Exception,
) : Exception("the record of job $jobId can't be read: $cause", cause)

/**
 * Runs [read], which decodes the record of a job, and returns its result.
 *
 * @throws UnreadableRecord if [read] throws one of the exceptions that the decoders throw for a record they can't
 * decode
 */
inline fun <T> decodeRecord(
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
        // The decoders of JSON and of Base64 throw subclasses of this, or this itself.
        throw UnreadableRecord(jobId, e)
    } catch (e: IOException) {
        throw UnreadableRecord(jobId, e)
    }

/** Reads the records of jobs from the state store to load a shard that has just been acquired. */
class ShardRecords(
    private val state: StateStoreClient,
) {
    private val log = LoggerFactory.getLogger("micatally.job")

    /** The ids of the jobs of other shards whose unreadable records were logged; each is logged only once. */
    private val loggedJobIds = HashSet<String>()

    /**
     * Reads the records of the jobs that still need action: those of the shard that are not settled
     * ([JobRecord.isSettled]), and those of cancelled jobs of other shards that may have attempts left.
     *
     * The records of jobs that are over are never deleted, so there may be more of them than fit in memory. Those of
     * the shard are passed to [onSettled] as they are read, and are not kept.
     *
     * @return null if the state store could not be read, or if its records changed while they were read
     * @throws UnreadableRecord if a record of the shard can't be decoded
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
     * Handles one record. An unreadable record of another shard is only logged: the leader of that shard has to deal
     * with it, and the tasks of cancelled jobs are also listed in the shared keys.
     */
    private fun visit(
        item: KeyValue,
        shard: JobShard,
        toLoad: MutableList<KeyValue>,
        onSettled: (jobId: String, record: JobRecord) -> Unit,
    ) {
        try {
            decodeRecord(jobIdOf(item)) { classify(item, shard, toLoad, onSettled) }
        } catch (e: UnreadableRecord) {
            if (JobRecord(item.value).shardOrNull == shard.name) throw e
            if (loggedJobIds.add(jobIdOf(item))) log.error("{}", e.message)
        }
    }

    /**
     * Adds the record to [toLoad] if its job needs action, or passes it to [onSettled] if its job is over, see [read].
     */
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
     * Unpacks the records. Their overflow values are read by a second listing. One transaction writes all values of a
     * record, so they have the same revision unless the record was written between the two listings. Only this
     * controller writes records of a shard that it leads, so for a job of the shard that is not in memory the revisions
     * agree.
     *
     * @return null if they do not agree for such a job, so that all has to be read again
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
                    decodeRecord(
                        jobId,
                    ) { JobRecord(RecordPacking.unpack(item.value, overflow.map { it.value })) }
                } else {
                    null
                }
            ShardRecord(jobId, JobRecord(item.value), plain, item.modRevision)
        }
    }
}
