package micatally.scale

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests the parsing and checking of scenario files, and the load that [JobPlan] generates from them. */
class ScenarioTest {
    private val valid =
        """
        seed = 3
        seconds = 10
        warmupSeconds = 4
        controllers = 3
        zones = ["a", "b"]
        [workers]
        reportSeconds = 1.0
        leaseSeconds = 6.0
        cancelSeconds = 20.0
        types = [{ name = "box", count = 20, cores = 8.0, ramGb = 16.0 }]
        [teams]
        count = 4
        [stateService]
        requestsPerSecond = 100.0
        writesPerSecond = 50.0
        [[jobs]]
        name = "sweep"
        format = "sweep"
        priority = "low"
        tasks = 4
        cores = 1.0
        runSeconds = 2.0
        perSecond = 5.0
        """.trimIndent()

    /** Returns the message of the error that parsing throws. */
    private fun parseError(toml: String): String =
        assertThrows(ScenarioError::class.java) { ScenarioFile.parse(toml) }.message ?: ""

    @Test
    fun `the bundled scenarios are valid`() {
        for (name in ScenarioFile.BUNDLED) ScenarioFile.load(name)
        val target = ScenarioFile.load("target")
        assertEquals(1700, target.workerCount)
        assertEquals(3500.0, target.workers.types.sumOf { it.count * it.gpus })
    }

    @Test
    fun `an unknown key is rejected with its path and the most similar known key`() {
        assertEquals(
            "unknown key workers.leaseSecond; did you mean leaseSeconds?",
            parseError(valid.replace("leaseSeconds", "leaseSecond")),
        )
        assertEquals(
            "unknown key jobs[0].core; did you mean cores?",
            parseError(valid.replace("cores = 1.0", "core = 1.0")),
        )
    }

    @Test
    fun `invalid values are rejected`() {
        assertTrue("controllers must be" in parseError(valid.replace("controllers = 3", "controllers = 12")))
        assertTrue("leaseSeconds" in parseError(valid.replace("leaseSeconds = 6.0", "leaseSeconds = 1.0")))
        assertTrue("format must be" in parseError(valid.replace("format = \"sweep\"", "format = \"swep\"")))
        assertTrue("runSeconds" in parseError(valid.replace("runSeconds = 2.0", "runSeconds = 0.0")))
        assertTrue("did you mean zone" in parseError("$valid\n[[failures]]\nkind = \"zon\"\natSecond = 1.0"))
        assertTrue(parseError(valid.replace("seconds = 10", "seconds = \"ten\"")).isNotEmpty())
        assertTrue("not TOML" in parseError("seconds ="))
        assertTrue(
            "no scenario nowhere.toml" in
                assertThrows(ScenarioError::class.java) { ScenarioFile.load("nowhere.toml") }.message!!,
        )
    }

    private fun PlannedJob.summary() = "$atMs ${spec.source} $cancelAfterMs"

    @Test
    fun `the same seed gives the same load and another seed a different one`() {
        val scenario = ScenarioFile.parse(valid)
        val load = JobPlan.of(scenario).map { it.summary() }
        assertEquals(load, JobPlan.of(scenario).map { it.summary() })
        assertNotEquals(load, JobPlan.of(scenario.copy(seed = 4)).map { it.summary() })
        // 5 jobs per second for 14 s are 70 on average.
        assertTrue(load.size in 40..100, "${load.size} jobs")
    }
}
