package micatally.job

import kotlinx.serialization.json.JsonObject
import micatally.ledger.Keys
import micatally.ledger.Ledger
import micatally.state.StateClient
import micatally.state.Urgency

/**
 * A job's record as it was read.
 *
 * @property plain its unpacked form; null for open and done jobs of other ledgers, which nobody asks for here
 */
class LedgerRecord(
    val ref: String,
    val stored: JsonObject,
    val plain: JsonObject?,
    val mark: Long,
)

/** Reads the records of jobs for a ledger that has just been acquired. */
class LedgerRecords(
    private val state: StateClient,
) {
    /**
     * All records, whoever owns them; null if they could not be read. A record's further values have its revision, since one
     * transaction writes them. Nobody else writes records of a ledger that is held, so for those the two listings agree.
     */
    suspend fun of(ledger: Ledger): List<LedgerRecord>? {
        val listing = state.list(Keys.JOB, Urgency.LEASE) ?: return null
        val isSplit = listing.items.any { RecordPacking.overflowCount(it.value) > 0 }
        val parts = if (isSplit) state.list(Keys.JOB_PART, Urgency.LEASE) ?: return null else null
        val partOf = parts?.items?.associateBy { it.key } ?: emptyMap()
        return listing.items.map { item ->
            val ref = item.key.removePrefix(Keys.JOB)
            val isOwn = JobRecord.ledgerOf(item.value) == ledger.name
            val overflow = (0 until RecordPacking.overflowCount(item.value)).map { partOf[Keys.jobPart(ref, it)] }
            val isWhole = overflow.all { it != null && it.mark == item.mark }
            if (!isWhole && isOwn && ref !in ledger.jobs) return null
            val isNeeded = isOwn || JobRecord.state(item.value) == JobState.WITHDRAWN
            val plain = if (isWhole && isNeeded) RecordPacking.unpack(item.value, overflow.map { it!!.value }) else null
            LedgerRecord(ref, item.value, plain, item.mark)
        }
    }
}
