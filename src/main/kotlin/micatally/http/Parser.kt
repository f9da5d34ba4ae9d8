package micatally.http

import java.nio.ByteBuffer

/**
 * Thrown for a message that is not valid HTTP/1.1, exceeds a limit or uses a part of HTTP/1.1 that [Parser] does not
 * support.
 *
 * @property status status code with which a server refuses the message
 */
class HttpError(
    val status: Int,
    message: String,
) : Exception(message) {
    /** Statuses that callers treat in a way of their own. */
    companion object {
        const val UNAVAILABLE = 503
    }
}

/** The source of the bytes that a [Parser] reads. */
fun interface ByteSource {
    /** Waits until it has put at least one more byte into [buffer]; returns false at the end of the stream. */
    suspend fun fill(buffer: ByteBuffer): Boolean
}

/**
 * The start line of a message and the header fields that have an effect.
 *
 * @property contentLength value of the `Content-Length` field, in bytes; null if there is none
 * @property isChunked whether the body is sent in chunks
 * @property close whether the sender closes the connection after the message. This is also the case for HTTP/1.0.
 * @property keepAlive whether the message has the field `Connection: keep-alive`
 */
class Head(
    val startLine: String,
    val contentLength: Long?,
    val isChunked: Boolean,
    val close: Boolean,
    val keepAlive: Boolean,
)

/**
 * The bytes of a body that have arrived. Its array doubles until it reaches [maxSize].
 *
 * @param take called before memory is taken, with its size in bytes; it throws if there is none
 */
private class BodyBuffer(
    private val maxSize: Int,
    private val take: (Int) -> Unit,
) {
    private var array = EMPTY_BODY

    var size = 0
        private set

    /** Adds the next [count] bytes of [source]. */
    fun append(
        source: ByteBuffer,
        count: Int,
    ) {
        if (size + count > array.size) grow(size + count)
        source.get(array, size, count)
        size += count
    }

    private fun grow(minSize: Int) {
        val newSize = minOf(maxOf(minSize, array.size * 2, MIN_SIZE), maxSize)
        take(newSize - array.size)
        array = array.copyOf(newSize)
    }

    fun bytes(): ByteArray = if (size == array.size) array else array.copyOf(size)

    private companion object {
        const val MIN_SIZE = 1024
    }
}

private val EMPTY_BODY = ByteArray(0)

/**
 * An incremental HTTP/1.1 parser for the messages of one connection. It limits a line to [MAX_LINE_BYTES], a header to
 * [MAX_HEADER_LINES] and a body to the size that the caller gives.
 */
class Parser(
    private val source: ByteSource,
    bufferBytes: Int = 4096,
) {
    private var buffer: ByteBuffer = ByteBuffer.allocate(bufferBytes).flip()

    /** Whether bytes of the next message have already arrived. This never happens with peers that don't pipeline. */
    val hasPendingBytes get() = buffer.hasRemaining()

    private suspend fun fillBuffer(): Boolean {
        buffer.compact()
        val hasMore = source.fill(buffer)
        buffer.flip()
        return hasMore
    }

    /** Waits for the first byte of a message; returns false if the stream has ended before it. */
    suspend fun awaitMessage(): Boolean = buffer.hasRemaining() || fillBuffer()

    private val line = StringBuilder()

    private suspend fun readLine(): String {
        line.setLength(0)
        while (true) {
            while (buffer.hasRemaining()) {
                val char = buffer.get().toInt().toChar()
                if (char == '\n') {
                    if (line.isNotEmpty() && line[line.length - 1] == '\r') line.setLength(line.length - 1)
                    return line.toString()
                }
                if (line.length >= MAX_LINE_BYTES) throw HttpError(431, "line too long")
                line.append(char)
            }
            if (!fillBuffer()) throw HttpError(400, "the stream ended in a line")
        }
    }

    /** Reads the start line and the header of a message. */
    suspend fun head(): Head {
        val startLine = readLine()
        var length: Long? = null
        var isChunked = false
        var close = startLine.endsWith("HTTP/1.0") || startLine.startsWith("HTTP/1.0")
        var keepAlive = false
        var lineCount = 0
        while (true) {
            val headerLine = readLine()
            if (headerLine.isEmpty()) break
            if (++lineCount > MAX_HEADER_LINES) throw HttpError(431, "too many header lines")
            val colon = headerLine.indexOf(':')
            if (colon <= 0) throw HttpError(400, "bad header line")
            val name = headerLine.substring(0, colon)
            if (name.equals("content-length", true)) {
                val n = headerLine.substring(colon + 1).trim().toLongOrNull()
                if (n == null || n < 0 || (length != null && length != n)) throw HttpError(400, "bad content-length")
                length = n
            } else if (name.equals("transfer-encoding", true)) {
                if (!headerLine
                        .substring(
                            colon + 1,
                        ).trim()
                        .equals("chunked", true)
                ) {
                    throw HttpError(501, "unknown transfer-encoding")
                }
                isChunked = true
            } else if (name.equals("connection", true)) {
                val option = headerLine.substring(colon + 1).trim()
                if (option.equals("close", true)) close = true
                if (option.equals("keep-alive", true)) keepAlive = true
            }
        }
        if (isChunked && length != null) throw HttpError(400, "both content-length and chunked")
        return Head(startLine, length, isChunked, close, keepAlive)
    }

    /**
     * Reads the body that belongs to [head], of at most [maxBytes] bytes. The memory that it takes grows with what has
     * arrived: what the header claims need never come.
     *
     * @param take called before memory is taken, with its size in bytes; it throws if there is none
     */
    suspend fun body(
        head: Head,
        maxBytes: Long,
        take: (Int) -> Unit = {},
    ): ByteArray {
        if (head.isChunked) return readChunks(maxBytes, take)
        val length = head.contentLength ?: return EMPTY_BODY
        if (length > maxBytes) throw HttpError(413, "body too large")
        val body = BodyBuffer(length.toInt(), take)
        readInto(body, length.toInt())
        return body.bytes()
    }

    private suspend fun readInto(
        body: BodyBuffer,
        count: Int,
    ) {
        var missing = count
        while (missing > 0) {
            if (!buffer.hasRemaining() && !fillBuffer()) throw HttpError(400, "the stream ended in a body")
            val available = minOf(buffer.remaining(), missing)
            body.append(buffer, available)
            missing -= available
        }
    }

    private suspend fun readChunks(
        maxBytes: Long,
        take: (Int) -> Unit,
    ): ByteArray {
        val body = BodyBuffer(maxBytes.toInt(), take)
        while (true) {
            val chunkBytes = readLine().substringBefore(';').trim().toLongOrNull(16)
            if (chunkBytes == null || chunkBytes < 0) throw HttpError(400, "bad chunk size")
            if (chunkBytes > maxBytes - body.size) throw HttpError(413, "body too large")
            if (chunkBytes == 0L) break
            readInto(body, chunkBytes.toInt())
            if (readLine().isNotEmpty()) throw HttpError(400, "bad chunk end")
        }
        var trailerCount = 0
        while (readLine().isNotEmpty()) if (++trailerCount > MAX_HEADER_LINES) throw HttpError(431, "too many trailers")
        return body.bytes()
    }

    /** Limits of a message. */
    companion object {
        const val MAX_LINE_BYTES = 8192

        /** Also the limit of the trailer lines after a body in chunks. */
        const val MAX_HEADER_LINES = 64
    }
}
