package micatally.upgrade

import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.wire.longOrNull

/** Which stored forms and messages the controllers may use. */
enum class UpgradePhase {
    /** Some controller may still run the previous version, so only forms that it understands are written. */
    MIXED,

    /** Every controller of the settings has started with the current version. Never left again. */
    UNIFORM,
}

/**
 * Versions of the stored forms; a higher one includes the lower ones. A program from before [PACKED_RECORDS] writes
 * [FIRST] and announces nothing.
 */
object FormatVersion {
    const val FIRST = 1L

    /** Job records and lists of cancelled tasks may be packed, and there may be gangs. */
    const val PACKED_RECORDS = 2L

    /** Teams may be stored in the state store. Announced only where that is switched on. */
    const val STORED_TEAMS = 3L

    /** The newest version that this program reads. */
    const val CURRENT = STORED_TEAMS
}

/** What a controller has to do next so that an upgrade proceeds. */
sealed interface UpgradeStep {
    /** Record durably that this host has started with the version it aims at. */
    data object Announce : UpgradeStep

    /** All hosts have announced a newer version than the format: raise the format for good. */
    data object Raise : UpgradeStep

    /** Wait for these hosts to start with the version that this host aims at. */
    data class WaitFor(
        val hosts: List<String>,
    ) : UpgradeStep

    /** The format is the one that this host aims at, or newer. */
    data object Finished : UpgradeStep
}

/**
 * Decides on the steps of an upgrade from the shared keys alone.
 *
 * Keys that are missing stand for [FormatVersion.FIRST]. The keys may be older than the state store's: announcements
 * and format only grow, so an older view delays a step and never takes a wrong one.
 */
object UpgradePlan {
    /** The version that the host has announced. */
    fun announced(
        sharedKeys: SharedKeyCache,
        host: String,
    ): Long = version(sharedKeys, Keys.version(host))

    /** The phase that the format stands for. */
    fun phase(sharedKeys: SharedKeyCache): UpgradePhase =
        if (format(sharedKeys) >= FormatVersion.PACKED_RECORDS) UpgradePhase.UNIFORM else UpgradePhase.MIXED

    /** The newest format that may be written. */
    fun format(sharedKeys: SharedKeyCache): Long = version(sharedKeys, Keys.FORMAT)

    /** The newest format that all hosts have announced. */
    fun common(
        sharedKeys: SharedKeyCache,
        hosts: Collection<String>,
    ): Long = hosts.minOf { announced(sharedKeys, it) }

    /**
     * The next step of the host [self], which aims at the version [target].
     *
     * An announcement is written by a process of that version once it is live itself, and stays. A host that has
     * started with a new version does not return to an old one, so a host that is only down does not delay the others.
     */
    fun nextStep(
        sharedKeys: SharedKeyCache,
        self: String,
        hosts: Collection<String>,
        target: Long = FormatVersion.PACKED_RECORDS,
    ): UpgradeStep {
        if (announced(sharedKeys, self) < target) {
            // The live key may still be that of the former process.
            val isLiveWithTarget = running(sharedKeys, self) >= target
            return if (isLiveWithTarget) UpgradeStep.Announce else UpgradeStep.WaitFor(listOf(self))
        }
        if (common(sharedKeys, hosts) > format(sharedKeys)) return UpgradeStep.Raise
        if (format(sharedKeys) >= target) return UpgradeStep.Finished
        return UpgradeStep.WaitFor(hosts.filter { announced(sharedKeys, it) < target }.sorted())
    }

    /** Hosts that run an older version than they have announced: an operator has rolled them back too late. */
    fun downgraded(
        sharedKeys: SharedKeyCache,
        hosts: Collection<String>,
    ): List<String> = hosts.filter { isDowngraded(sharedKeys, it) }.sorted()

    private fun isDowngraded(
        sharedKeys: SharedKeyCache,
        host: String,
    ) = sharedKeys.has(Keys.live(host)) && running(sharedKeys, host) < announced(sharedKeys, host)

    /** The version of the process that the host's live key names. */
    private fun running(
        sharedKeys: SharedKeyCache,
        host: String,
    ): Long = sharedKeys.value(Keys.live(host))?.longOrNull(FORMAT_FIELD) ?: FormatVersion.FIRST

    private fun version(
        sharedKeys: SharedKeyCache,
        key: String,
    ): Long = sharedKeys.value(key)?.longOrNull(VERSION_FIELD) ?: FormatVersion.FIRST

    /** Field of the announcements and of the format key. */
    const val VERSION_FIELD = "n"

    /** Field of a live key that names the version of the process; the previous program neither writes nor reads it. */
    const val FORMAT_FIELD = "format"
}
