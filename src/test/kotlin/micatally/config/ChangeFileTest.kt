package micatally.config

import micatally.settings.Team
import micatally.wire.ConfigurationChange
import micatally.wire.TeamSetting
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Validation reports all errors of a change at once, each with the team or line that it concerns. */
class ChangeFileTest {
    private val current =
        Configuration.of(
            7,
            listOf(
                TeamEntry(Team("vision", 10.0, 40.0, 0.0, 0.0), isRemoved = false, changedAt = 5),
                TeamEntry(Team("former", 10.0, 40.0, 0.0, 0.0), isRemoved = true, changedAt = 6),
            ),
        )

    private fun errorsOf(
        vararg set: TeamSetting,
        remove: List<String> = emptyList(),
        base: Long = 7,
    ): List<String> =
        ChangeCheck
            .errors(ConfigurationChange("id", base, "operator", "test", set.toList(), remove), current)
            .map { "${it.team}: ${it.message}" }

    @Test
    fun `each invalid value of a change is reported with its team`() {
        assertEquals(emptyList<String>(), errorsOf(TeamSetting("vision", 1.0, 2.0, 0.0, 0.0)))
        val errors =
            errorsOf(
                TeamSetting("two words", 1.0, 2.0),
                TeamSetting("a", 3.0, 2.0),
                TeamSetting("b", -1.0, 2.0),
                TeamSetting("c", Double.NaN, 2.0),
                TeamSetting("d", 1.0, Double.POSITIVE_INFINITY),
                TeamSetting("e", 1.0, 2.0),
                TeamSetting("e", 1.0, 3.0),
                remove = listOf("nobody"),
            )
        assertTrue(errors.any { it.startsWith("two words: a name has") }, "$errors")
        assertTrue("a: cpus is above cpus_max" in errors, "$errors")
        assertTrue("b: cpus must not be negative" in errors, "$errors")
        assertTrue("c: cpus is not a number" in errors, "$errors")
        assertTrue("d: cpus_max is not a number" in errors, "$errors")
        assertTrue("e: named 2 times" in errors, "$errors")
        assertTrue("nobody: there is no such team to remove" in errors, "$errors")
        assertTrue(errorsOf().single().endsWith("nothing to change"))
        assertTrue(errorsOf(TeamSetting("x", 1.0, 2.0), base = 8).single().contains("version 8 does not exist"))
    }

    /**
     * Guards against a limit that does not hold: tasks of an unlimited team are not counted in its allotments, so a
     * limit that is set while they run would not apply to them. The values of a removed team remain and are checked
     * likewise.
     */
    @Test
    fun `a limit of a team can't be added or removed, not even by removing the team and adding it again`() {
        assertTrue(errorsOf(TeamSetting("vision", 1.0, 0.0)).single().contains("cpus_max can't go between 0"))
        assertTrue(errorsOf(TeamSetting("vision", 1.0, 2.0, 0.0, 8.0)).single().contains("gpus_max can't go between 0"))
        assertTrue(errorsOf(TeamSetting("former", 1.0, 0.0)).single().contains("cpus_max can't go between 0"))
        assertEquals(emptyList<String>(), errorsOf(TeamSetting("new", 1.0, 0.0)))
    }

    @Test
    fun `a change conflicts only with later changes of its own teams`() {
        fun conflicts(
            name: String,
            base: Long,
        ) = ChangeCheck.conflicts(
            ConfigurationChange("id", base, "operator", "test", listOf(TeamSetting(name, 1.0, 2.0))),
            current,
        )
        assertEquals(listOf("vision"), conflicts("vision", 4))
        assertEquals(emptyList<String>(), conflicts("vision", 5))
        assertEquals(listOf("former"), conflicts("former", 5), "a removal is a change too")
        assertEquals(emptyList<String>(), conflicts("new", 0))
    }

    @Test
    fun `a file with errors is rejected as a whole and all errors are reported`() {
        val file =
            """
            {"base": "x", "author": "operator", "reazon": "test", "teams": [
              {"name": "a", "cpus": "ten"}, {"name": "b", "cpu_max": 3}, 5, {"cpus": 1}], "remove": [1]}
            """.trimIndent()
        val error =
            assertThrows(ChangeFileError::class.java) { ChangeFile.parse(file.toByteArray(), "id", isDryRun = false) }
        val lines = error.errors.map { "${it.team}: ${it.message}" }
        assertTrue(": base must be an integer" in lines, "$lines")
        assertTrue(": unknown field reazon; did you mean reason?" in lines, "$lines")
        assertTrue(": reason is missing" in lines, "$lines")
        assertTrue("a: cpus must be a finite number" in lines, "$lines")
        assertTrue("teams[1]: unknown field cpu_max; did you mean cpus_max?" in lines, "$lines")
        assertTrue(lines.any { it.startsWith("teams[2]:") } && lines.any { it.startsWith("teams[3]:") }, "$lines")
        assertTrue(lines.any { it.startsWith("remove:") }, "$lines")
    }

    @Test
    fun `a change in parts and a snapshot are decoded as they were encoded`() {
        val teams = List(300) { Team("team-$it", 1.0, it + 2.0, 0.0, 4.0) }
        val change = ChangeRecord(8, "id", "operator", "test", 5, teams, listOf("vision"))
        val parts = ChangeCodec.parts(change, 4096)
        assertTrue(
            parts.size > 1 && parts.all { it.toString().length <= 4096 },
            "${parts.map { it.toString().length }}",
        )
        val stored =
            ChangeCodec
                .changes(
                    ChangeCodec.group(listOf(ChangeCodec.encode(change, parts.size, "s"))),
                ).single()
        assertEquals("s", stored.stage)
        val read = ChangeCodec.joined(stored, parts)
        assertEquals(teams.map { it.name to it.coresMax }, read.set.map { it.name to it.coresMax })
        val next = current.with(read)
        assertEquals(null, next.team("vision"))
        val snapshot = ChangeCodec.snapshot(next, 4096).flatMap { ChangeCodec.entries(it) }
        val restored = Configuration.of(8, snapshot)
        assertEquals(300, restored.teams.size)
        assertTrue(restored.entry("vision")!!.isRemoved && restored.entry("former")!!.isRemoved)
        assertEquals(8L, restored.entry("team-299")!!.changedAt)
    }
}
