package micatally.http

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import micatally.cli.EventLoop
import micatally.state.RateBudget
import micatally.state.StateStoreClient
import micatally.state.Urgency
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException

/** Tests the client and the server over sockets on the loopback address. */
class ClientTest {
    private fun withEventLoop(test: suspend (EventLoop) -> Unit) =
        EventLoop("test").use { loop -> runBlocking { withContext(loop.scope.coroutineContext) { test(loop) } } }

    private fun EventLoop.serve(body: ByteArray): String {
        val server = Server(scope, group, "127.0.0.1:0", 10, 1000) { HttpResponse(200, body) }
        server.start()
        return "127.0.0.1:${server.port}"
    }

    /**
     * The response to a watch has no maximum size, but a controller has little memory. The failure that this guards
     * against: the controller repeats a watch whose response is too large without end.
     */
    @Test
    fun `a watch whose response is too large reports that the keys have to be listed again`() =
        withEventLoop { loop ->
            val addr = loop.serve("{\"odometer\":9,\"news\":[],\"more\":\"${"x".repeat(5000)}\"}".encodeToByteArray())
            val client = Client(loop.group, 10, loop::nowMs, maxResponseBytes = 1000)
            assertEquals(Outcome.TooLarge, client.call(addr, "GET", "/watch", null, 2000))
            val budget = RateBudget(loop.scope, 100.0, loop::nowMs)
            val state = StateStoreClient(client, addr, budget, budget, 2000)
            assertTrue(state.watch("c/", 5, 0, Urgency.LEASE)!!.isCompacted)
        }

    @Test
    fun `binding an address that another server uses fails`() =
        withEventLoop { loop ->
            val addr = loop.serve(ByteArray(0))
            val second = Server(loop.scope, loop.group, addr, 10, 1000) { HttpResponse(200, ByteArray(0)) }
            assertThrows(IOException::class.java) { second.bind() }
        }
}
