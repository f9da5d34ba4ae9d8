package micatally.archive

import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.state.Compare
import micatally.state.StateLimits
import micatally.wire.longOrNull

/** What a controller does with the records of jobs that are over, as the operator has set it. */
enum class ArchiveMode {
    /** Records are not moved. Those that are archived already stay in the archive. */
    OFF,

    /**
     * Records are moved from `job/` to `final/`, away from those of open jobs, once all controllers look for them there
     * too.
     */
    ON,

    /** Archived records are copied back to `job/`, so that a version of the program without an archive finds them. */
    RESTORE,
}

/**
 * Decides from the shared keys whether records of jobs that are over may be moved to `final/`.
 *
 * Each host announces with a key of its own that its processes look for records in both places from now on. That key is
 * never deleted. The live key of a process states whether that process moves records itself. So a single process with
 * another [ArchiveMode] keeps all others from moving records.
 */
object ArchivePlan {
    /** The field of a live key that states whether the process moves records: 1 if it does. */
    const val LIVE_FIELD = "archive"

    /** Whether [host] has announced that its processes look for records in both places. */
    fun isAnnounced(
        sharedKeys: SharedKeyCache,
        host: String,
    ): Boolean = sharedKeys.has(Keys.archive(host))

    /**
     * Whether records may be moved: all [hosts] look in both places, and no live process is one that does not move
     * records.
     */
    fun mayMove(
        sharedKeys: SharedKeyCache,
        hosts: Collection<String>,
    ): Boolean = hosts.all { isAnnounced(sharedKeys, it) && (!sharedKeys.isLive(it) || movesRecords(sharedKeys, it)) }

    private fun movesRecords(
        sharedKeys: SharedKeyCache,
        host: String,
    ): Boolean = sharedKeys.value(Keys.live(host))?.longOrNull(LIVE_FIELD) == 1L

    /** The conditions of a move: it is carried out only as long as the live processes are exactly those known now. */
    fun conditions(
        sharedKeys: SharedKeyCache,
        hosts: Collection<String>,
    ): List<Compare> = hosts.map { Compare(Keys.live(it), sharedKeys.modRevision(Keys.live(it))) }

    /**
     * How many records one transaction may move. Each takes two writes and two conditions; [otherConditions] come on
     * top.
     */
    fun recordsPerTransaction(
        limits: StateLimits,
        otherConditions: Int,
    ): Int {
        val byConditions = (limits.maxOperationsPerTransaction * CONDITIONS_PER_WRITE - otherConditions) / 2
        return minOf(limits.maxOperationsPerTransaction / 2, byConditions).coerceAtLeast(0)
    }

    /** The state store allows this many times as many conditions as writes in a transaction. */
    private const val CONDITIONS_PER_WRITE = 4
}
