package micatally.resilience

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.util.stream.LongStream
import kotlin.random.Random

/**
 * Sends random malformed input to a deployed controller. After each input it has to serve. For a long run set the system
 * properties `fuzz.seeds` (how many) and `fuzz.inputs` (how many of each seed).
 */
class RequestFuzzTest {
    @ParameterizedTest
    @MethodSource("seeds")
    fun `whatever one connection sends is answered by the protocol and the controller goes on serving`(seed: Long) =
        DeployedController().use { controller ->
            val inputs = HostileInputs(Random(seed)) { controller.nextJob().toString() }
            val halfOpen = ArrayDeque<Socket>()
            repeat(INPUTS) { number ->
                val input = inputs.next()
                val status = send(controller.userPort, input, halfOpen)
                val described = "seed $seed input $number, ${input.kind}, ${input.size} bytes"
                assertTrue(controller.isServing()) { "$described: the controller serves no longer\n${controller.log}" }
                assertTrue(status in input.allowedStatuses) { "$described: answered with $status" }
            }
            halfOpen.forEach { it.close() }
        }

    /** Sends the input on a connection of its own and returns the answer's status; [NO_ANSWER] for none. */
    private fun send(
        port: Int,
        input: HostileInput,
        halfOpen: ArrayDeque<Socket>,
    ): Int {
        val socket = Socket(InetAddress.getLoopbackAddress(), port)
        socket.soTimeout = ANSWER_MS
        if (input.isLeftOpen) {
            writeAll(socket, input)
            halfOpen.addLast(socket)
            if (halfOpen.size > MAX_HALF_OPEN) halfOpen.removeFirst().close()
            return NO_ANSWER
        }
        return socket.use {
            writeAll(it, input)
            readStatus(it)
        }
    }

    /** The controller may refuse the beginning of an input and close the connection before the rest is sent. */
    private fun writeAll(
        socket: Socket,
        input: HostileInput,
    ) = try {
        for (part in input.parts) {
            socket.getOutputStream().write(part)
            socket.getOutputStream().flush()
        }
    } catch (_: IOException) {
        Unit
    }

    private fun readStatus(socket: Socket): Int =
        try {
            val line = socket.getInputStream().bufferedReader().readLine() ?: ""
            line.split(' ').getOrNull(1)?.toIntOrNull() ?: NO_ANSWER
        } catch (_: IOException) {
            NO_ANSWER
        }

    private companion object {
        const val NO_ANSWER = DeployedController.NO_ANSWER
        const val ANSWER_MS = 5000

        /** The controller accepts far more connections, so these do not take any from the questions. */
        const val MAX_HALF_OPEN = 40
        val INPUTS: Int = Integer.getInteger("fuzz.inputs", 400)

        @JvmStatic
        fun seeds(): LongStream = LongStream.rangeClosed(1, java.lang.Long.getLong("fuzz.seeds", 2))
    }
}
