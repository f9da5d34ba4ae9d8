package micatally.http

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import micatally.cli.EventLoop
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

class ServerTest {
    private suspend fun Client.status(
        server: Server,
        target: String,
    ): Int? = (call("127.0.0.1:${server.port}", "GET", target, null, 2000) as? Outcome.Answer)?.status

    @ParameterizedTest
    @MethodSource("failures")
    fun `a failure of any kind while a request is handled ends its connection only`(failure: Throwable) =
        EventLoop("test").use { loop ->
            runBlocking { withContext(loop.scope.coroutineContext) { checkIsolation(loop, failure) } }
        }

    private suspend fun checkIsolation(
        loop: EventLoop,
        failure: Throwable,
    ) = coroutineScope {
        val release = CompletableDeferred<Unit>()
        val server =
            Server(loop.scope, loop.group, "127.0.0.1:0", 10, 1000) { request ->
                if (request.path == "/fails") throw failure
                if (request.path == "/waits") release.await()
                HttpResponse(200, ByteArray(0))
            }
        server.start()
        val client = Client(loop.group, 10, loop::nowMs)
        val other = async { client.status(server, "/waits") }
        delay(100)
        assertEquals(503, client.status(server, "/fails"))
        release.complete(Unit)
        assertEquals(200, other.await(), "a request on another connection")
        assertEquals(200, client.status(server, "/later"), "a request after the failure")
        val keptConnections = if (failure is Exception) 2 else 1
        assertEquals(keptConnections, server.statistics.open, "connections that wait for later requests")
    }

    private companion object {
        @JvmStatic
        fun failures() =
            listOf(
                StackOverflowError(),
                OutOfMemoryError("test"),
                NoClassDefFoundError("test"),
                IllegalStateException("test"),
                kotlin.coroutines.cancellation.CancellationException("of something else"),
            )
    }
}
