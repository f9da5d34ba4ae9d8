package micatally.http

import java.nio.ByteBuffer

/** A message that is not HTTP/1.1 as this project speaks it; [status] is what a server answers. */
class HttpError(
    val status: Int,
    message: String,
) : Exception(message)

/** Where the bytes come from: fills the buffer with at least one more byte, false at the end of the stream. */
fun interface ByteSource {
    suspend fun fill(buffer: ByteBuffer): Boolean
}

/** The start line and what matters of the header. */
class Head(
    val startLine: String,
    val length: Long?,
    val chunked: Boolean,
    val close: Boolean,
    val keepAlive: Boolean,
)

/** An incremental HTTP/1.1 parser over one connection. Limits: [MAX_LINE] bytes a line, [MAX_LINES] header lines,
 * and the given number of body bytes. */
class Parser(
    private val source: ByteSource,
    size: Int = 4096,
) {
    private var buffer: ByteBuffer = ByteBuffer.allocate(size).flip()

    /** True when bytes of a next message are already here, which peers that don't pipeline never cause. */
    val pending get() = buffer.hasRemaining()

    private suspend fun more(): Boolean {
        buffer.compact()
        val ok = source.fill(buffer)
        buffer.flip()
        return ok
    }

    /** Waits for the first byte of a message; false when the stream ended before it. */
    suspend fun awaitMessage(): Boolean = buffer.hasRemaining() || more()

    private val line = StringBuilder()

    private suspend fun readLine(): String {
        line.setLength(0)
        while (true) {
            while (buffer.hasRemaining()) {
                val c = buffer.get().toInt().toChar()
                if (c == '\n') {
                    if (line.isNotEmpty() && line[line.length - 1] == '\r') line.setLength(line.length - 1)
                    return line.toString()
                }
                if (line.length >= MAX_LINE) throw HttpError(431, "line too long")
                line.append(c)
            }
            if (!more()) throw HttpError(400, "the stream ended in a line")
        }
    }

    suspend fun head(): Head {
        val start = readLine()
        var length: Long? = null
        var chunked = false
        var close = start.endsWith("HTTP/1.0") || start.startsWith("HTTP/1.0")
        var keep = false
        var lines = 0
        while (true) {
            val l = readLine()
            if (l.isEmpty()) break
            if (++lines > MAX_LINES) throw HttpError(431, "too many header lines")
            val colon = l.indexOf(':')
            if (colon <= 0) throw HttpError(400, "bad header line")
            val name = l.substring(0, colon)
            if (name.equals("content-length", true)) {
                val n = l.substring(colon + 1).trim().toLongOrNull()
                if (n == null || n < 0 || (length != null && length != n)) throw HttpError(400, "bad content-length")
                length = n
            } else if (name.equals("transfer-encoding", true)) {
                if (!l
                        .substring(
                            colon + 1,
                        ).trim()
                        .equals("chunked", true)
                ) {
                    throw HttpError(501, "unknown transfer-encoding")
                }
                chunked = true
            } else if (name.equals("connection", true)) {
                val v = l.substring(colon + 1).trim()
                if (v.equals("close", true)) close = true
                if (v.equals("keep-alive", true)) keep = true
            }
        }
        if (chunked && length != null) throw HttpError(400, "both content-length and chunked")
        return Head(start, length, chunked, close, keep)
    }

    suspend fun body(
        head: Head,
        max: Long,
    ): ByteArray {
        if (head.chunked) return chunks(max)
        val length = head.length ?: return NOTHING
        if (length > max) throw HttpError(413, "body too large")
        return exactly(length.toInt())
    }

    private suspend fun exactly(n: Int): ByteArray {
        val out = ByteArray(n)
        var at = 0
        while (at < n) {
            if (!buffer.hasRemaining() && !more()) throw HttpError(400, "the stream ended in a body")
            val k = minOf(buffer.remaining(), n - at)
            buffer.get(out, at, k)
            at += k
        }
        return out
    }

    private suspend fun chunks(max: Long): ByteArray {
        val parts = ArrayList<ByteArray>()
        var total = 0L
        while (true) {
            val size = readLine().substringBefore(';').trim().toLongOrNull(16)
            if (size == null || size < 0) throw HttpError(400, "bad chunk size")
            total += size
            if (total > max) throw HttpError(413, "body too large")
            if (size == 0L) break
            parts.add(exactly(size.toInt()))
            if (readLine().isNotEmpty()) throw HttpError(400, "bad chunk end")
        }
        var trailers = 0
        while (readLine().isNotEmpty()) if (++trailers > MAX_LINES) throw HttpError(431, "too many trailers")
        val out = ByteArray(total.toInt())
        var at = 0
        for (p in parts) {
            p.copyInto(out, at)
            at += p.size
        }
        return out
    }

    companion object {
        const val MAX_LINE = 8192
        const val MAX_LINES = 64
        private val NOTHING = ByteArray(0)
    }
}
