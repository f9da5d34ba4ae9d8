package micatally.http

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousServerSocketChannel
import java.nio.channels.AsynchronousSocketChannel

/** An HTTP/1.1 server on one address. Beyond [maxConnections] a new connection is closed at once, so that the rest
 * of the process keeps sockets for its own calls. When three quarters are taken, connections are closed after each
 * answer: a node that is left alone with a whole fleet would otherwise shut out every worker that comes later. */
class Server(
    private val scope: CoroutineScope,
    private val group: AsynchronousChannelGroup,
    private val addr: String,
    private val maxConnections: Int,
    private val maxBody: Long,
    private val handle: suspend (HttpRequest) -> HttpResponse,
) {
    private val log = LoggerFactory.getLogger("micatally.http")
    private var open = 0
    private lateinit var channel: AsynchronousServerSocketChannel
    val port get() = (channel.localAddress as java.net.InetSocketAddress).port

    /** Takes the address; connections wait until [start].
     *
     * @throws java.io.IOException if another process has it */
    fun bind() {
        val opened = AsynchronousServerSocketChannel.open(group)
        try {
            opened.setOption(StandardSocketOptions.SO_REUSEADDR, true)
            opened.bind(socketAddress(addr), maxOf(LEAST_BACKLOG, maxConnections))
        } catch (e: IOException) {
            opened.close()
            throw e
        }
        channel = opened
    }

    fun start(): Job {
        if (!::channel.isInitialized) bind()
        return scope.launch {
            while (true) {
                val c =
                    try {
                        channel.acceptOne()
                    } catch (e: CancellationException) {
                        throw e
                    } catch (e: Exception) {
                        // Out of sockets, most likely. Trying again at once would spin.
                        log.error("accept on {} failed: {}", addr, e.toString())
                        delay(ACCEPT_PAUSE_MS)
                        continue
                    }
                if (open >= maxConnections) {
                    c.closeQuietly()
                    continue
                }
                open++
                launch {
                    try {
                        serve(c)
                    } catch (
                        e: CancellationException,
                    ) {
                        throw e
                    } catch (e: Exception) {
                        log.debug("connection ended: {}", e.toString())
                    } finally {
                        open--
                        c.closeQuietly()
                    }
                }
            }
        }
    }

    private suspend fun serve(c: AsynchronousSocketChannel) {
        c.setOption(StandardSocketOptions.TCP_NODELAY, true)
        val parser = Parser({ c.readInto(it) > 0 }, 2048)
        while (true) {
            val there = withTimeoutOrNull(IDLE_MS) { parser.awaitMessage() } ?: return
            if (!there) return
            val request =
                try {
                    withTimeoutOrNull(MESSAGE_MS) {
                        val head = parser.head()
                        val words = head.startLine.split(' ')
                        if (words.size != 3 || !words[2].startsWith("HTTP/1.")) throw HttpError(400, "bad request line")
                        HttpRequest(words[0], words[1], parser.body(head, maxBody), !head.close)
                    } ?: return
                } catch (e: HttpError) {
                    write(c, errorResponse(e.status, e.message ?: ""), false)
                    return
                }
            val response =
                try {
                    handle(request)
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    log.error("{} {} failed", request.method, request.path, e)
                    HttpResponse(503, "{\"error\":\"internal\"}".encodeToByteArray(), retryAfterS = 1)
                }
            val keep = request.keepAlive && !response.close && open * 4 <= maxConnections * 3
            write(c, response, keep)
            if (!keep) return
        }
    }

    private suspend fun write(
        c: AsynchronousSocketChannel,
        r: HttpResponse,
        keep: Boolean,
    ) {
        val head = StringBuilder(160)
        head
            .append(
                "HTTP/1.1 ",
            ).append(r.status)
            .append(' ')
            .append(reasonOf(r.status))
            .append("\r\nContent-Type: ")
            .append(r.type)
            .append("\r\nContent-Length: ")
            .append(r.body.size)
        if (r.retryAfterS != null) head.append("\r\nRetry-After: ").append(r.retryAfterS)
        if (!keep) head.append("\r\nConnection: close")
        head.append("\r\n\r\n")
        withTimeoutOrNull(MESSAGE_MS) { c.writeAll(joined(head, r.body)) } ?: c.closeQuietly()
    }

    private companion object {
        /** Connections that may wait to be accepted; after an outage a whole fleet comes back at once. */
        const val LEAST_BACKLOG = 256
        const val IDLE_MS = 120_000L
        const val MESSAGE_MS = 10_000L
        const val ACCEPT_PAUSE_MS = 100L
    }
}

internal fun joined(
    head: CharSequence,
    body: ByteArray,
): ByteBuffer {
    val h = head.toString().toByteArray(Charsets.ISO_8859_1)
    return ByteBuffer
        .allocate(h.size + body.size)
        .put(h)
        .put(body)
        .flip()
}

fun errorResponse(
    status: Int,
    message: String,
    retryAfterS: Int? = null,
): HttpResponse {
    val body =
        kotlinx.serialization.json.JsonObject(
            mapOf("error" to kotlinx.serialization.json.JsonPrimitive(message)),
        )
    return HttpResponse(status, body.toString().encodeToByteArray(), retryAfterS = retryAfterS)
}
