package micatally.cli

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import micatally.settings.Settings
import micatally.sim.SimFleet
import micatally.wire.bytes
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket

class ControllerStartTest {
    /** Guards against a controller that only logs that it can't bind its address, and then runs without listening. */
    @Test
    fun `a controller whose address is in use by another process does not start and names the address`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { other ->
            val taken = "127.0.0.1:${other.localPort}"
            val addresses = mapOf("listen" to JsonPrimitive(taken), "back" to JsonPrimitive("127.0.0.1:0"))
            val fields = JsonObject(SimFleet(1).settingsOf(0) + addresses)
            val settings = Settings.parse(fields.bytes())
            val refusal =
                assertThrows(AddressTaken::class.java) { EventLoop("test").use { startController(it, settings) } }
            assertTrue(taken in refusal.message!!, refusal.message)
        }
    }
}
