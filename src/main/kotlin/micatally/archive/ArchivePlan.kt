package micatally.archive

import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.state.Compare
import micatally.state.StateLimits
import micatally.wire.longOrNull

/** What a controller does with the records of jobs that are over. */
enum class ArchiveMode {
    /** They stay where they are. */
    OFF,

    /** They are moved apart from the open ones once all controllers look for them there. */
    ON,

    /** Those that were moved are copied back, so that a program which knows nothing of the archive finds them. */
    RESTORE,
}

/**
 * Decides from the shared keys whether records of jobs that are over may be moved to `final/`.
 *
 * A host announces with a key of its own, never taken back, that each later process of it looks in both places. A live key
 * names whether its process moves records itself, so that one process of another mind stops them all.
 */
object ArchivePlan {
    /** Field of a live key: the process moves records. */
    const val LIVE_FIELD = "archive"

    fun isAnnounced(
        sharedKeys: SharedKeyCache,
        host: String,
    ): Boolean = sharedKeys.has(Keys.archive(host))

    fun mayMove(
        sharedKeys: SharedKeyCache,
        hosts: Collection<String>,
    ): Boolean = hosts.all { isAnnounced(sharedKeys, it) && (!sharedKeys.isLive(it) || movesRecords(sharedKeys, it)) }

    private fun movesRecords(
        sharedKeys: SharedKeyCache,
        host: String,
    ): Boolean = sharedKeys.value(Keys.live(host))?.longOrNull(LIVE_FIELD) == 1L

    /** A move takes place only while exactly these processes are live. */
    fun conditions(
        sharedKeys: SharedKeyCache,
        hosts: Collection<String>,
    ): List<Compare> = hosts.map { Compare(Keys.live(it), sharedKeys.modRevision(Keys.live(it))) }

    /** Records that one transaction may move: two changes and two conditions each, beside [otherConditions]. */
    fun recordsAtOnce(
        limits: StateLimits,
        otherConditions: Int,
    ): Int {
        val byConditions = (limits.maxOperationsPerTransaction * CONDITIONS_A_CHANGE - otherConditions) / 2
        return minOf(limits.maxOperationsPerTransaction / 2, byConditions).coerceAtLeast(0)
    }

    /** The protocol allows four times as many conditions as changes. */
    private const val CONDITIONS_A_CHANGE = 4
}
