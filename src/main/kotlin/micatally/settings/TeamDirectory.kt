package micatally.settings

/** The teams and their limits, as decisions may use them now. */
interface TeamDirectory {
    /** The team, or null if there is none of that name. */
    fun team(name: String): Team?

    fun all(): Collection<Team>

    /** False while a change is known to exist whose content is not known here yet: nothing may be decided meanwhile. */
    val isCurrent: Boolean

    /**
     * Brings the view up to what is stored now, so that a refusal rests on nothing older than this call.
     *
     * @return false if that can't be said
     */
    suspend fun refresh(): Boolean
}

/** Teams that never change while the program runs: those of the settings file. */
class FixedTeams(
    private val teams: Map<String, Team>,
) : TeamDirectory {
    override fun team(name: String) = teams[name]

    override fun all() = teams.values

    override val isCurrent get() = true

    override suspend fun refresh() = true
}
