package micatally.http

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import kotlin.random.Random

class ParserTest {
    /** A source that delivers the text in pieces of random size, as a network does. */
    private fun source(
        text: String,
        random: Random,
    ): ByteSource {
        val bytes = text.toByteArray(Charsets.ISO_8859_1)
        var position = 0
        return ByteSource { buffer ->
            val count = minOf(buffer.remaining(), bytes.size - position, random.nextInt(1, 7))
            buffer.put(bytes, position, count)
            position += count
            count > 0
        }
    }

    private fun read(
        text: String,
        seed: Int = 1,
    ): Pair<Head, ByteArray> =
        runBlocking {
            val parser = Parser(source(text, Random(seed)), 16)
            val head = parser.head()
            head to parser.body(head, 64)
        }

    @Test
    fun `a body with a length and a body in chunks are read alike however the bytes are split`() {
        for (seed in 1..50) {
            assertArrayEquals(
                "hello".toByteArray(),
                read("POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", seed).second,
            )
            assertArrayEquals(
                "hello".toByteArray(),
                read(
                    "POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3;a=b\r\nllo\r\n0\r\nt: v\r\n\r\n",
                    seed,
                ).second,
            )
        }
    }

    @Test
    fun `an invalid message or one above a limit is refused with the status for its fault`() {
        fun status(text: String) = assertThrows(HttpError::class.java) { read(text) }.status
        assertEquals(413, status("POST /x HTTP/1.1\r\nContent-Length: 65\r\n\r\n"))
        assertEquals(413, status("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n"))
        assertEquals(400, status("POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n"))
        assertEquals(400, status("POST /x HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"))
        assertEquals(
            400,
            status("POST /x HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        )
        assertEquals(501, status("POST /x HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"))
        assertEquals(431, status("GET /" + "x".repeat(9000) + " HTTP/1.1\r\n\r\n"))
        assertEquals(431, status("GET / HTTP/1.1\r\n" + "a: b\r\n".repeat(65) + "\r\n"))
        assertEquals(400, status("GET / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"))
    }
}
