package micatally.config

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import micatally.settings.Team
import micatally.wire.TeamSetting

/**
 * The latest values of a team. A removed team keeps its entry, because its tasks that still run count against these
 * values if the team is added again.
 *
 * @property changedAt the version that last changed or removed the team
 */
class TeamEntry(
    val team: Team,
    val isRemoved: Boolean,
    val changedAt: Long,
)

/**
 * The configuration at one version. It is immutable; a change yields a new object.
 *
 * @property changeIds ids of recent changes that this configuration contains, with their versions
 */
class Configuration private constructor(
    val version: Long,
    private val entries: PersistentMap<String, TeamEntry>,
    private val changeIds: PersistentMap<String, Long>,
) {
    /** Returns the latest entry of a team, even if the team was removed; null if it never existed. */
    fun entry(name: String): TeamEntry? = entries[name]

    /** Returns the team, or null if it does not exist or was removed. */
    fun team(name: String): Team? = entries[name]?.takeUnless { it.isRemoved }?.team

    /** All teams except for removed ones. */
    val teams: List<Team> get() = entries.values.filter { !it.isRemoved }.map { it.team }

    /** All teams, with removed ones. */
    val allEntries: Collection<TeamEntry> get() = entries.values

    /** Returns the version under which the change with this id was applied; null if no such change is known. */
    fun versionOf(changeId: String): Long? = changeIds[changeId]

    /** Returns the configuration after [change], whose version must be the next one. */
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
     * Returns the ids to keep. A change is repeated soon after its first attempt or not at all, so once there are too
     * many ids the older half is dropped. The limit grows with the number of teams, because all teams may be changed at
     * once and each of these changes may be repeated.
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

        /** The configuration before the first change: version 0 without teams. */
        val EMPTY = Configuration(0, persistentMapOf(), persistentMapOf())

        /** Creates a configuration from a snapshot. The ids of its changes are unknown, since a snapshot omits them. */
        fun of(
            version: Long,
            entries: List<TeamEntry>,
        ): Configuration {
            val byName = entries.associateBy { it.team.name }
            return Configuration(version, persistentMapOf<String, TeamEntry>().putAll(byName), persistentMapOf())
        }
    }
}

/** Converts a team to its form in messages. */
fun Team.toSetting() = TeamSetting(name, cores, coresMax, gpus, gpusMax)

/** Converts a team from its form in messages. */
fun TeamSetting.toTeam() = Team(name, cores, coresMax, gpus, gpusMax)

/**
 * A change that has a version and can be stored.
 *
 * @property atMs wall-clock time of the controller that wrote the change, in ms; informational, no decision depends on
 * it
 * @property set teams that are added or replaced
 * @property remove names of removed teams
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
