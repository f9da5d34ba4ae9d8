package micatally.upgrade

import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.wire.longOrNull

/**
 * Which stored forms and messages the controllers may use.
 *
 * MIXED: a controller may still run the previous version, so only forms that it understands are written.
 * UNIFORM: every controller of the settings has come up with the current version. Never left again.
 */
enum class UpgradePhase { MIXED, UNIFORM }

/** Versions of the stored forms. The previous program writes [FIRST] and announces nothing. */
object FormatVersion {
    const val FIRST = 1L

    /** Records and kill lists may be packed, and gangs exist. */
    const val PACKED_RECORDS = 2L

    /** Teams may be stored in the state service; announced only where that is switched on. */
    const val STORED_TEAMS = 3L

    /** The newest that this program reads. */
    const val CURRENT = STORED_TEAMS
}

/** What a controller has to write next so that an upgrade proceeds. */
sealed interface UpgradeStep {
    /** Record durably that this host has come up with the current version. */
    data object Announce : UpgradeStep

    /** All hosts have announced it: raise the format for good. */
    data object Raise : UpgradeStep

    /** Wait for these hosts to come up with the current version. */
    data class WaitFor(
        val hosts: List<String>,
    ) : UpgradeStep

    data object Finished : UpgradeStep
}

/** Decides on the steps of an upgrade from the shared keys alone. */
object UpgradePlan {
    fun announced(
        sharedKeys: SharedKeyCache,
        host: String,
    ): Long = version(sharedKeys, Keys.version(host))

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
     * The next step of [self], which wants the format [wanted]. An announcement is written by a process of the current version once it is live itself, and stays. A host that has once
     * come up new does not return old, so a host that is merely away does not hold up the others.
     */
    fun next(
        sharedKeys: SharedKeyCache,
        self: String,
        hosts: Collection<String>,
        wanted: Long = FormatVersion.PACKED_RECORDS,
    ): UpgradeStep {
        if (announced(sharedKeys, self) < wanted) {
            // The live key may still be that of the former process.
            val isLiveNew = running(sharedKeys, self) >= wanted
            return if (isLiveNew) UpgradeStep.Announce else UpgradeStep.WaitFor(listOf(self))
        }
        if (common(sharedKeys, hosts) > format(sharedKeys)) return UpgradeStep.Raise
        if (format(sharedKeys) >= wanted) return UpgradeStep.Finished
        return UpgradeStep.WaitFor(hosts.filter { announced(sharedKeys, it) < wanted }.sorted())
    }

    /** Hosts that run an older version although they had announced the current one: an operator has gone back too late. */
    fun downgraded(
        sharedKeys: SharedKeyCache,
        hosts: Collection<String>,
    ): List<String> =
        hosts
            .filter { host ->
                sharedKeys.has(Keys.live(host)) && running(sharedKeys, host) < announced(sharedKeys, host)
            }.sorted()

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
