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

/** Client and server over real sockets. */
class ClientTest {
    private fun onLoopback(test: suspend (EventLoop) -> Unit) =
        EventLoop("test").use { loop -> runBlocking { withContext(loop.scope.coroutineContext) { test(loop) } } }

    private fun EventLoop.serve(answer: ByteArray): String {
        val server = Server(scope, group, "127.0.0.1:0", 10, 1000) { HttpResponse(200, answer) }
        server.start()
        return "127.0.0.1:${server.port}"
    }

    /** The answer of a watch has no bound, and a controller has little memory. It used to be asked for again without end. */
    @Test
    fun `a watch whose answer is too large is read again in pages`() =
        onLoopback { loop ->
            val addr = loop.serve("{\"odometer\":9,\"news\":[],\"more\":\"${"x".repeat(5000)}\"}".encodeToByteArray())
            val client = Client(loop.group, 10, loop::nowMs, maxResponseBytes = 1000)
            assertEquals(Outcome.TooLarge, client.call(addr, "GET", "/watch", null, 2000))
            val budget = RateBudget(loop.scope, 100.0, loop::nowMs)
            val state = StateStoreClient(client, addr, budget, budget, 2000)
            assertTrue(state.watch("c/", 5, 0, Urgency.LEASE)!!.isCompacted)
        }

    @Test
    fun `an address that another server has can't be bound`() =
        onLoopback { loop ->
            val addr = loop.serve(ByteArray(0))
            val second = Server(loop.scope, loop.group, addr, 10, 1000) { HttpResponse(200, ByteArray(0)) }
            assertThrows(IOException::class.java) { second.bind() }
        }
}
