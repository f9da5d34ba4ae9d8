package micatally.resilience

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import kotlin.concurrent.thread

/** What all connections together send does not use up the heap, whatever its form. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RequestMemoryTest {
    private val controller = DeployedController()

    @AfterAll
    fun stop() = controller.close()

    private var loggedBefore = 0

    @BeforeEach
    fun restart() {
        controller.restartUnlessServing()
        loggedBefore = controller.log.length
    }

    /** Sends [bytes] on many connections at the same time, keeps them open for [HOLD_MS], and closes them. */
    private fun flood(
        port: Int,
        bytes: ByteArray,
    ) {
        val senders =
            List(CONNECTIONS) {
                thread {
                    try {
                        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
                            socket.getOutputStream().write(bytes)
                            socket.getOutputStream().flush()
                            Thread.sleep(HOLD_MS)
                        }
                    } catch (_: IOException) {
                        // The controller may close a connection that holds too much.
                    }
                }
            }
        senders.forEach { it.join() }
    }

    private fun assertServing() {
        assertTrue(controller.isServing()) { "users are not served: ${controller.log}" }
        assertTrue(controller.isAnsweringPeers()) { "other controllers are not answered: ${controller.log}" }
        assertFalse("OutOfMemoryError" in controller.log.drop(loggedBefore), "the heap was used up")
    }

    private fun chunks(
        target: String,
        count: Int,
    ) = ("POST $target HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\n[\r\n".repeat(count)).toByteArray()

    private fun claim(
        target: String,
        length: Int,
    ) = "POST $target HTTP/1.1\r\nContent-Length: $length\r\n\r\n".toByteArray()

    @Test
    fun `unfinished bodies of many small chunks leave the heap free`() {
        repeat(2) {
            flood(controller.userPort, chunks("/work", USER_BODY_BYTES - 1))
            assertServing()
        }
    }

    @Test
    fun `unfinished bodies of the largest size leave the heap free`() {
        repeat(2) {
            flood(controller.userPort, claim("/work", USER_BODY_BYTES) + ByteArray(USER_BODY_BYTES - 1))
            assertServing()
        }
    }

    @Test
    fun `claimed bodies at the address for other controllers leave the heap free`() {
        repeat(2) {
            flood(controller.peerPort, claim("/peer/news", PEER_BODY_BYTES) + 1)
            assertServing()
        }
    }

    @Test
    fun `unfinished bodies at the address for other controllers leave the heap free`() {
        flood(controller.peerPort, claim("/peer/news", PEER_BODY_BYTES) + ByteArray(PEER_BODY_BYTES - 1))
        assertServing()
    }

    @Test
    fun `unfinished bodies of small chunks at the address for other controllers leave the heap free`() {
        flood(controller.peerPort, chunks("/peer/news", 200_000))
        assertServing()
    }

    @Test
    fun `long header lines on all connections leave the heap free`() {
        val head = "GET /healthz HTTP/1.1\r\n" + "a: ${"b".repeat(8000)}\r\n".repeat(60)
        flood(controller.userPort, head.toByteArray())
        assertServing()
    }

    private companion object {
        const val CONNECTIONS = 120
        const val HOLD_MS = 2500L
        const val USER_BODY_BYTES = 64 * 1024
        const val PEER_BODY_BYTES = 4 * 1024 * 1024
    }
}
