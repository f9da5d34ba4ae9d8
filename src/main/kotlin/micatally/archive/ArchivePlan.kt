package micatally.archive

import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.state.Compare
import micatally.state.StateLimits
import micatally.wire.longOrNull

/** What a controller does with the records of jobs that are over, as the operator has set it. */
enum class ArchiveMode {
    /** They stay where they are. */
    OFF,

    /** They are moved to `final/`, apart from those of open jobs, once all controllers look for them there. */
    ON,

    /** Those that were moved are copied back, so that a program which knows nothing of the archive finds them. */
    RESTORE,
}

/**
 * Decides from the shared keys whether records of jobs that are over may be moved to `final/`.
 *
 * A host announces with a key of its own, which is never deleted, that each later process of it looks in both places. A live
 * key states whether its process moves records itself, so that one process with another [ArchiveMode] stops all the others.
 */
object ArchivePlan {
    /** The field of a live key that states whether the process moves records: 1 if it does. */
    const val LIVE_FIELD = "archive"

    /** Whether all processes of [host] look for records in both places. */
    fun isAnnounced(
        sharedKeys: SharedKeyCache,
        host: String,
    ): Boolean = sharedKeys.has(Keys.archive(host))

    /** Whether records may be moved: all [hosts] look in both places, and none has a process that does not move records. */
    fun mayMove(
        sharedKeys: SharedKeyCache,
        hosts: Collection<String>,
    ): Boolean = hosts.all { isAnnounced(sharedKeys, it) && (!sharedKeys.isLive(it) || movesRecords(sharedKeys, it)) }

    private fun movesRecords(
        sharedKeys: SharedKeyCache,
        host: String,
    ): Boolean = sharedKeys.value(Keys.live(host))?.longOrNull(LIVE_FIELD) == 1L

    /** The conditions of a move: it takes place only while exactly those processes are live that are known to be now. */
    fun conditions(
        sharedKeys: SharedKeyCache,
        hosts: Collection<String>,
    ): List<Compare> = hosts.map { Compare(Keys.live(it), sharedKeys.modRevision(Keys.live(it))) }

    /** How many records one transaction may move: each takes two writes and two conditions, beside [otherConditions]. */
    fun recordsPerTransaction(
        limits: StateLimits,
        otherConditions: Int,
    ): Int {
        val byConditions = (limits.maxOperationsPerTransaction * CONDITIONS_PER_WRITE - otherConditions) / 2
        return minOf(limits.maxOperationsPerTransaction / 2, byConditions).coerceAtLeast(0)
    }

    /** The protocol allows this many times as many conditions as writes. */
    private const val CONDITIONS_PER_WRITE = 4
}
