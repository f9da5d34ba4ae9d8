package micatally.config

import micatally.settings.Team
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ConfigurationIdsTest {
    private fun change(version: Long) =
        ChangeRecord(
            version = version,
            id = "change-$version",
            author = "ops",
            reason = "",
            atMs = 0,
            set = listOf(Team("team-${version % TEAMS}", 1.0, 2.0, 0.0, 0.0)),
            remove = emptyList(),
        )

    /**
     * Guards against a fixed limit of remembered ids: if each team is changed by a change of its own, ids would be
     * dropped before the last change has been repeated, and a repetition would not be recognized.
     */
    @Test
    fun `the ids of all changes are known while every team is changed`() {
        var configuration = Configuration.EMPTY
        for (version in 1..TEAMS * 2L) configuration = configuration.with(change(version))
        assertEquals(TEAMS + 1L, configuration.versionOf("change-${TEAMS + 1}"))
    }

    private companion object {
        const val TEAMS = 3000
    }
}
