package micatally.settings

/** Provides the teams and their quotas that are in force now. */
interface TeamDirectory {
    /** Returns the team, or null if there is no team of that name. */
    fun team(name: String): Team?

    /** Returns all teams. */
    fun all(): Collection<Team>

    /**
     * False while a newer version of the teams is known to exist but has not been loaded yet. During that time no
     * decision may be based on the quotas.
     */
    val isCurrent: Boolean

    /**
     * Brings the teams up to date with the state store. Called before a job is rejected, so that the rejection does not
     * depend on teams that are older than this call. Suspends until the state store has responded.
     *
     * @return false if the teams may be older than this call
     */
    suspend fun refresh(): Boolean
}

/** A directory of teams that never change. */
class FixedTeams(
    private val teams: Map<String, Team>,
) : TeamDirectory {
    override fun team(name: String) = teams[name]

    override fun all() = teams.values

    override val isCurrent get() = true

    override suspend fun refresh() = true
}
