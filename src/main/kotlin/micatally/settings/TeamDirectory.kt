package micatally.settings

/** The teams and their limits that are in force now. */
interface TeamDirectory {
    /** Returns the team, or null if there is none of that name. */
    fun team(name: String): Team?

    /** Returns all teams. */
    fun all(): Collection<Team>

    /**
     * False while a change is known to exist whose content has not been read yet. Nothing may be decided on the limits
     * meanwhile.
     */
    val isCurrent: Boolean

    /**
     * Reads what is stored now, so that a refusal after it rests on nothing older than this call. Suspends until the state
     * store has answered.
     *
     * @return false if it is not certain that the teams are as new as this call
     */
    suspend fun refresh(): Boolean
}

/** The teams of the settings file, which never change while the program runs. */
class FixedTeams(
    private val teams: Map<String, Team>,
) : TeamDirectory {
    override fun team(name: String) = teams[name]

    override fun all() = teams.values

    override val isCurrent get() = true

    override suspend fun refresh() = true
}
