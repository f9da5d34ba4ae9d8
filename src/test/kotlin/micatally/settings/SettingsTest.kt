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
        Operator.parse(Properties().apply { pairs.forEach { setProperty(it.first, it.second) } })

    private fun refused(vararg pairs: Pair<String, String>) =
        assertThrows(SettingsError::class.java) {
            operator(*pairs)
        }.message!!

    @Test
    fun `operators' properties are checked, and a wrong name gets a suggestion`() {
        assertEquals(listOf(0.5, 2.0), operator("queue.bounds-leases" to "0.5, 2").queueBounds)
        assertTrue("did you mean fleet.headroom" in refused("fleet.hedroom" to "0.2"))
        assertTrue("fleet.headroom" in refused("fleet.headroom" to "2"))
        assertTrue("queue.lift" in refused("queue.lift" to "much"))
        assertTrue("queue.bounds-leases" in refused("queue.bounds-leases" to "2,1"))
    }

    @Test
    fun `a bad settings file is refused with the field's name`() {
        val good = SimFleet(1).settingsOf(0).toString()
        assertEquals("pitbox-0", Settings.parse(good.toByteArray()).host)

        fun refusal(
            from: String,
            to: String,
        ) = assertThrows(SettingsError::class.java) {
            Settings.parse(good.replace(from, to).toByteArray())
        }.message!!
        assertTrue("lease_s" in refusal("\"lease_s\":10.0", "\"lease_s\":-1"))
        assertTrue("listen" in refusal("\"listen\":\"n0:80\"", "\"listen\":\"n0\""))
        assertTrue("host_name" in refusal("\"host_name\":\"pitbox-0\",", ""))
    }

    /** Guard: [Settings.stateLimits] is the smaller of both limits, each by itself. */
    @Test
    fun `limits to come are optional, kept to from the start, and checked`() {
        fun limits(next: String) =
            Settings.parse(good.replace("\"txn_ops\":48}", "\"txn_ops\":48$next}").toByteArray()).stateLimits
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
    fun `the gangs' times are read, checked, and have cautious defaults`() {
        val named = Settings.parse(good.toByteArray())
        assertEquals(35_000L to 4000L, named.gangWaitMs to named.gangPeerMs)
        val older = Settings.parse(good.replace(Regex(",\"gang_\\w+\":[0-9.]+"), "").toByteArray())
        assertEquals(20_000L to 2000L, older.gangWaitMs to older.gangPeerMs)
        val message =
            assertThrows(SettingsError::class.java) {
                Settings.parse(good.replace("\"gang_wait_s\":35.0", "\"gang_wait_s\":0").toByteArray())
            }.message!!
        assertTrue("gang_wait_s" in message, message)
    }

    private val good = SimFleet(1).settingsOf(0).toString()

    /** The time for which a controller may answer heartbeats, a worker's lease and a margin fit in a cancellation's time. */
    @Test
    fun `the right to answer fits in a cancellation's time`() {
        val settings = SimFleet(1).settings[0]
        val neededMs = settings.leadershipMs + settings.leaseMs + settings.leaseMs / 10
        assertTrue(neededMs <= settings.cancellationDelayMs + settings.cancelMs)
    }
}
