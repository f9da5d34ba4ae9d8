package micatally.ownership

import micatally.archive.RecordLookup
import micatally.job.JobRecord
import micatally.job.JobState
import micatally.job.RecordPacking
import micatally.job.UnreadableRecord
import micatally.job.decodeRecord
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.state.KeyValue
import micatally.state.ReadResult
import micatally.state.StateStoreClient
import micatally.state.Urgency
import org.slf4j.LoggerFactory

/** What a job's record says about an attempt. */
sealed interface RecordVerdict {
    /** The record has the attempt, so the leader of the job's shard wants it or stops it. */
    data object Owned : RecordVerdict

    /** The record does not want it. */
    class Unwanted(
        val reason: UnwantedReason,
    ) : RecordVerdict
}

/**
 * Decides by the record of a job which of its attempts are wanted. A record has an attempt before the first start
 * command leaves, and until the attempt's end is proven. So an attempt that was listed before the record was read, and
 * that the record lacks, is wanted by no leader, whoever leads the job's shard.
 */
class RecordCheck(
    private val lookup: RecordLookup,
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
) {
    private val log = LoggerFactory.getLogger("micatally.ownership")

    /**
     * Reads the record and decides on the attempts, which must have been listed before.
     *
     * @return null if nothing can be decided now, because the state store is unavailable, the record can't be decoded,
     *   or this controller's copy of the shared keys is older than the record
     */
    suspend fun check(
        jobId: String,
        attempts: List<ListedAttempt>,
        urgency: Urgency,
    ): Map<ListedAttempt, RecordVerdict>? =
        when (val result = lookup.read(jobId, urgency)) {
            is ReadResult.Unavailable -> null
            is ReadResult.Missing -> attempts.associateWith { RecordVerdict.Unwanted(UnwantedReason.NO_RECORD) }
            is ReadResult.Found ->
                try {
                    decodeRecord(jobId) { decide(jobId, result.item, attempts, urgency) }
                } catch (e: UnreadableRecord) {
                    log.warn("{}", e.message)
                    null
                }
        }

    private suspend fun decide(
        jobId: String,
        item: KeyValue,
        attempts: List<ListedAttempt>,
        urgency: Urgency,
    ): Map<ListedAttempt, RecordVerdict>? {
        // The fencing token known here must not be older than the start commands of attempts that the record lacks.
        if (sharedKeys.revision < item.modRevision) return null
        val record = unpacked(jobId, item, urgency) ?: return null
        return attempts.associateWith { verdict(record, it) }
    }

    /** The unpacked record; null if its values could not all be read at one revision. */
    private suspend fun unpacked(
        jobId: String,
        item: KeyValue,
        urgency: Urgency,
    ): JobRecord? {
        val parts =
            (0 until RecordPacking.overflowCount(item.value)).map { index ->
                val part = state.get(Keys.jobPart(jobId, index), urgency) as? ReadResult.Found ?: return null
                if (part.item.modRevision != item.modRevision) return null
                part.item.value
            }
        return JobRecord(RecordPacking.unpack(item.value, parts))
    }

    private fun verdict(
        record: JobRecord,
        attempt: ListedAttempt,
    ): RecordVerdict {
        val hasAttempt =
            record.attempts.any {
                it.taskIndex == attempt.id.taskIndex &&
                    it.number == attempt.id.attempt &&
                    it.machine.name == attempt.machine.name
            }
        return when {
            !hasAttempt -> RecordVerdict.Unwanted(UnwantedReason.NOT_CURRENT)
            record.state == JobState.CANCELLED -> RecordVerdict.Unwanted(UnwantedReason.CANCELLED)
            else -> RecordVerdict.Owned
        }
    }
}
