package micatally.settings

import micatally.sim.SimFleet
import micatally.state.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Properties

class SettingsTest {
    private fun operator(vararg pairs: Pair<String, String>) =
        OperatorSettings.parse(Properties().apply { pairs.forEach { setProperty(it.first, it.second) } })

    private fun rejectionOf(vararg pairs: Pair<String, String>) =
        assertThrows(SettingsError::class.java) {
            operator(*pairs)
        }.message!!

    @Test
    fun `operator properties are validated and an unknown name gets a suggestion`() {
        assertEquals(listOf(0.5, 2.0), operator("queue.bounds-leases" to "0.5, 2").queueBounds)
        assertTrue("did you mean fleet.headroom" in rejectionOf("fleet.hedroom" to "0.2"))
        assertTrue("fleet.headroom" in rejectionOf("fleet.headroom" to "2"))
        assertTrue("queue.lift" in rejectionOf("queue.lift" to "much"))
        assertTrue("queue.bounds-leases" in rejectionOf("queue.bounds-leases" to "2,1"))
    }

    @Test
    fun `an invalid settings file is rejected with the name of the field`() {
        val validSettings = SimFleet(1).settingsOf(0).toString()
        assertEquals("pitbox-0", Settings.parse(validSettings.toByteArray()).host)

        fun refusal(
            from: String,
            to: String,
        ) = assertThrows(SettingsError::class.java) {
            Settings.parse(validSettings.replace(from, to).toByteArray())
        }.message!!
        assertTrue("lease_s" in refusal("\"lease_s\":10.0", "\"lease_s\":-1"))
        assertTrue("listen" in refusal("\"listen\":\"n0:80\"", "\"listen\":\"n0\""))
        assertTrue("host_name" in refusal("\"host_name\":\"pitbox-0\",", ""))
    }

    /**
     * Guards against limits of the state store that are exceeded once the upcoming ones apply: [Settings.stateLimits]
     * takes for each limit the smaller of the current and the upcoming one.
     */
    @Test
    fun `upcoming limits are optional, validated, and respected from the start`() {
        fun limits(next: String) =
            Settings.parse(validSettings.replace("\"txn_ops\":48}", "\"txn_ops\":48$next}").toByteArray()).stateLimits
        assertEquals(StateLimits(250.0, 100.0, 16 * 1024, 48), limits(""))
        assertEquals(
            StateLimits(250.0, 70.0, 2 * 1024, 16),
            limits(",\"next\":{\"write_rps\":70,\"value_kb\":2,\"txn_ops\":16}"),
        )
        assertEquals(StateLimits(200.0, 100.0, 16 * 1024, 48), limits(",\"next\":{\"rps\":200,\"write_rps\":900}"))
        for (field in listOf("value_kb", "txn_ops", "rps", "write_rps")) {
            val message = assertThrows(SettingsError::class.java) { limits(",\"next\":{\"$field\":-1}") }.message!!
            assertTrue("state.next.$field" in message, message)
        }
        assertThrows(SettingsError::class.java) { limits(",\"next\":[]") }
    }

    @Test
    fun `gang times are read and validated, and have cautious defaults`() {
        val withGangTimes = Settings.parse(validSettings.toByteArray())
        assertEquals(35_000L to 4000L, withGangTimes.gangWaitMs to withGangTimes.gangPeerMs)
        val withoutGangTimes = Settings.parse(validSettings.replace(Regex(",\"gang_\\w+\":[0-9.]+"), "").toByteArray())
        assertEquals(20_000L to 2000L, withoutGangTimes.gangWaitMs to withoutGangTimes.gangPeerMs)
        val message =
            assertThrows(SettingsError::class.java) {
                Settings.parse(validSettings.replace("\"gang_wait_s\":35.0", "\"gang_wait_s\":0").toByteArray())
            }.message!!
        assertTrue("gang_wait_s" in message, message)
    }

    private val validSettings = SimFleet(1).settingsOf(0).toString()

    /**
     * Guards against a cancelled task that runs longer than allowed: the time for which a controller may answer
     * heartbeats without contact to the state store, a worker lease and a margin must fit in the time until the
     * cancellation takes effect.
     */
    @Test
    fun `leadership and a worker lease end before a cancellation must have taken effect`() {
        val settings = SimFleet(1).settings[0]
        val neededMs = settings.leadershipMs + settings.leaseMs + settings.leaseMs / 10
        assertTrue(neededMs <= settings.cancellationDelayMs + settings.cancelMs)
    }
}
