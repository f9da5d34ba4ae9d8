package micatally.config

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import micatally.settings.Team
import micatally.wire.TeamSetting

/**
 * The latest values of a team. A removed team keeps its values, because its remaining work counts against them if the
 * team is added again.
 *
 * @property changedAt the version that changed the team last
 */
class TeamEntry(
    val team: Team,
    val isRemoved: Boolean,
    val changedAt: Long,
)

/**
 * The configuration at one version: an immutable snapshot, replaced as a whole.
 *
 * @property changeIds ids of the changes that are known to be in it, with their versions
 */
class Configuration private constructor(
    val version: Long,
    private val entries: PersistentMap<String, TeamEntry>,
    private val changeIds: PersistentMap<String, Long>,
) {
    /** Returns the latest values of a team, also of a removed one. */
    fun entry(name: String): TeamEntry? = entries[name]

    /** Returns the team, or null if it does not exist or was removed. */
    fun team(name: String): Team? = entries[name]?.takeUnless { it.isRemoved }?.team

    val teams: List<Team> get() = entries.values.filter { !it.isRemoved }.map { it.team }
    val allEntries: Collection<TeamEntry> get() = entries.values

    /** The version under which a change with this id was applied; null if none is known. */
    fun versionOf(changeId: String): Long? = changeIds[changeId]

    /** The configuration after [change], which must be the next one. */
    fun with(change: ChangeRecord): Configuration {
        check(change.version == version + 1) { "change ${change.version} does not follow version $version" }
        var next = entries
        for (team in change.set) next = next.put(team.name, TeamEntry(team, false, change.version))
        for (name in change.remove) {
            val entry = next[name] ?: continue
            next = next.put(name, TeamEntry(entry.team, true, change.version))
        }
        return Configuration(change.version, next, recentIds(change.version).put(change.id, change.version))
    }

    /**
     * A change is repeated soon or never, so the older half of the ids is dropped when there are too many. The
     * limit grows
     * with the number of teams: all of them may be changed at once, and each change repeated.
     */
    private fun recentIds(version: Long): PersistentMap<String, Long> {
        val maxIds = maxOf(MIN_REMEMBERED_IDS, entries.size * IDS_PER_TEAM)
        if (changeIds.size < maxIds) return changeIds
        val kept = changeIds.filterValues { it > version - maxIds / 2 }
        return persistentMapOf<String, Long>().putAll(kept)
    }

    companion object {
        private const val MIN_REMEMBERED_IDS = 2000
        private const val IDS_PER_TEAM = 4
        val EMPTY = Configuration(0, persistentMapOf(), persistentMapOf())

        /** Restores a configuration from a snapshot, which does not hold the ids of its changes. */
        fun of(
            version: Long,
            entries: List<TeamEntry>,
        ): Configuration {
            val byName = entries.associateBy { it.team.name }
            return Configuration(version, persistentMapOf<String, TeamEntry>().putAll(byName), persistentMapOf())
        }
    }
}

fun Team.toSetting() = TeamSetting(name, cores, coresMax, gpus, gpusMax)

fun TeamSetting.toTeam() = Team(name, cores, coresMax, gpus, gpusMax)

/**
 * One change as it is stored.
 *
 * @property atMs wall-clock time of the writer in milliseconds; informational, no decision depends on it
 */
class ChangeRecord(
    val version: Long,
    val id: String,
    val author: String,
    val reason: String,
    val atMs: Long,
    val set: List<Team>,
    val remove: List<String>,
)
