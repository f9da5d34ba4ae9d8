package micatally.upgrade

import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.wire.longOrNull

/** Which formats of stored values and messages the controllers may use. */
enum class UpgradePhase {
    /**
     * Some controller may still run a program that knows only [FormatVersion.FIRST], so only what that program
     * understands is written and sent.
     */
    MIXED,

    /**
     * Every controller of the settings has announced [FormatVersion.PACKED_RECORDS] or a newer format. This phase is
     * final.
     */
    UNIFORM,
}

/** Versions of the format of stored values. A higher version includes the lower ones. */
object FormatVersion {
    /** The format of programs that know nothing of upgrades: they write this one and announce nothing. */
    const val FIRST = 1L

    /** Job records and lists of cancelled tasks may be packed, and there may be gangs. */
    const val PACKED_RECORDS = 2L

    /** Teams may be stored in the state store. Announced only by hosts whose operator has switched that on. */
    const val STORED_TEAMS = 3L

    /** The newest version that this program reads. */
    const val CURRENT = STORED_TEAMS
}

/** What a controller has to do next so that an upgrade proceeds. */
sealed interface UpgradeStep {
    /** Announce in the state store that this host runs with its target format. */
    data object Announce : UpgradeStep

    /** Raise the permitted format for good: all hosts have announced a newer one. */
    data object Raise : UpgradeStep

    /** Wait until [hosts] have announced the target format of this host. */
    data class WaitFor(
        val hosts: List<String>,
    ) : UpgradeStep

    /** Nothing: the permitted format is the target format of this host, or newer. */
    data object Finished : UpgradeStep
}

/**
 * Decides the steps of an upgrade from the shared keys alone.
 *
 * A missing key stands for [FormatVersion.FIRST]. The copy of the shared keys may lag behind the state store.
 * Announcements and the permitted format only grow, so an outdated copy can delay a step but can't cause a wrong one.
 */
object UpgradePlan {
    /** The format that [host] has announced. */
    fun announced(
        sharedKeys: SharedKeyCache,
        host: String,
    ): Long = storedFormat(sharedKeys, Keys.version(host))

    /** The phase that follows from the permitted format. */
    fun phase(sharedKeys: SharedKeyCache): UpgradePhase =
        if (format(sharedKeys) >= FormatVersion.PACKED_RECORDS) UpgradePhase.UNIFORM else UpgradePhase.MIXED

    /** The permitted format: the newest one that may be written. */
    fun format(sharedKeys: SharedKeyCache): Long = storedFormat(sharedKeys, Keys.FORMAT)

    /** The newest format that all [hosts] have announced. */
    fun newestAnnouncedByAll(
        sharedKeys: SharedKeyCache,
        hosts: Collection<String>,
    ): Long = hosts.minOf { announced(sharedKeys, it) }

    /**
     * The next step of the host [self], whose target format is [target].
     *
     * A process announces its target format once its own live key is stored. The announcement stays when the process
     * ends, because a host that has started with a new program must not return to an old one. So a host that is down
     * does not delay the others.
     */
    fun nextStep(
        sharedKeys: SharedKeyCache,
        self: String,
        hosts: Collection<String>,
        target: Long = FormatVersion.PACKED_RECORDS,
    ): UpgradeStep {
        if (announced(sharedKeys, self) < target) {
            // The live key may still be the one that the previous process of this host wrote.
            val isLiveWithTarget = formatOfLiveProcess(sharedKeys, self) >= target
            return if (isLiveWithTarget) UpgradeStep.Announce else UpgradeStep.WaitFor(listOf(self))
        }
        if (newestAnnouncedByAll(sharedKeys, hosts) > format(sharedKeys)) return UpgradeStep.Raise
        if (format(sharedKeys) >= target) return UpgradeStep.Finished
        return UpgradeStep.WaitFor(hosts.filter { announced(sharedKeys, it) < target }.sorted())
    }

    /**
     * Hosts whose live process reads only an older format than they have announced. An operator has rolled them back to
     * an older program after the announcement, when that is no longer safe.
     */
    fun downgraded(
        sharedKeys: SharedKeyCache,
        hosts: Collection<String>,
    ): List<String> = hosts.filter { isDowngraded(sharedKeys, it) }.sorted()

    private fun isDowngraded(
        sharedKeys: SharedKeyCache,
        host: String,
    ) = sharedKeys.has(Keys.live(host)) && formatOfLiveProcess(sharedKeys, host) < announced(sharedKeys, host)

    /** The newest format that the live process of [host] reads, according to its live key. */
    private fun formatOfLiveProcess(
        sharedKeys: SharedKeyCache,
        host: String,
    ): Long = sharedKeys.value(Keys.live(host))?.longOrNull(FORMAT_FIELD) ?: FormatVersion.FIRST

    private fun storedFormat(
        sharedKeys: SharedKeyCache,
        key: String,
    ): Long = sharedKeys.value(key)?.longOrNull(VERSION_FIELD) ?: FormatVersion.FIRST

    /** The field that holds the format in announcements and under [Keys.FORMAT]. */
    const val VERSION_FIELD = "n"

    /**
     * The field of a live key that holds the newest format which the process reads. Programs that know only
     * [FormatVersion.FIRST] neither write nor read it.
     */
    const val FORMAT_FIELD = "format"
}
