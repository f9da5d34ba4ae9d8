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

/**
 * An HTTP/1.1 server on one address.
 *
 * A new connection beyond [maxConnections] is closed at once, so that the process keeps sockets for its own requests.
 * While more than three quarters of [maxConnections] are open, each connection is closed after its next response.
 * Otherwise, if only one controller is left for the whole fleet, the first workers would hold all its connections, and
 * later ones could not connect.
 *
 * @param maxBodyBytes maximum size of a request body; larger requests are refused
 * @param handle produces the response to a request. If it throws, the response has status 503.
 */
class Server(
    private val scope: CoroutineScope,
    private val group: AsynchronousChannelGroup,
    private val addr: String,
    private val maxConnections: Int,
    private val maxBodyBytes: Long,
    private val handle: suspend (HttpRequest) -> HttpResponse,
) {
    private val log = LoggerFactory.getLogger("micatally.http")
    private var openConnections = 0
    private lateinit var serverChannel: AsynchronousServerSocketChannel

    /** The port that the server is bound to. */
    val port get() = (serverChannel.localAddress as java.net.InetSocketAddress).port

    /**
     * Binds the server to its address. Incoming connections wait until [start].
     *
     * @throws java.io.IOException if the address can't be used, for example because another process uses it
     */
    fun bind() {
        val opened = AsynchronousServerSocketChannel.open(group)
        try {
            opened.setOption(StandardSocketOptions.SO_REUSEADDR, true)
            opened.bind(socketAddress(addr), maxOf(MIN_BACKLOG, maxConnections))
        } catch (e: IOException) {
            opened.close()
            throw e
        }
        serverChannel = opened
    }

    /**
     * Starts to accept connections, after binding if [bind] has not been called. The server runs until the job is
     * cancelled.
     */
    fun start(): Job {
        if (!::serverChannel.isInitialized) bind()
        return scope.launch {
            while (true) {
                val connection =
                    try {
                        serverChannel.acceptOne()
                    } catch (e: CancellationException) {
                        throw e
                    } catch (e: Exception) {
                        // Most likely the process has no free sockets. Without the delay this would be a busy loop.
                        log.error("accepting a connection on {} failed, retrying soon: {}", addr, e.toString())
                        delay(ACCEPT_RETRY_DELAY_MS)
                        continue
                    }
                if (openConnections >= maxConnections) {
                    connection.closeQuietly()
                    continue
                }
                openConnections++
                launch {
                    try {
                        serve(connection)
                    } catch (
                        e: CancellationException,
                    ) {
                        throw e
                    } catch (e: Exception) {
                        log.debug("connection closed after a failure: {}", e.toString())
                    } finally {
                        openConnections--
                        connection.closeQuietly()
                    }
                }
            }
        }
    }

    private suspend fun serve(connection: AsynchronousSocketChannel) {
        connection.setOption(StandardSocketOptions.TCP_NODELAY, true)
        val parser = Parser({ connection.readInto(it) > 0 }, 2048)
        while (true) {
            val hasMessage = withTimeoutOrNull(MAX_IDLE_MS) { parser.awaitMessage() } ?: return
            if (!hasMessage) return
            val request =
                try {
                    withTimeoutOrNull(MESSAGE_TIMEOUT_MS) {
                        val head = parser.head()
                        val parts = head.startLine.split(' ')
                        if (parts.size != 3 || !parts[2].startsWith("HTTP/1.")) throw HttpError(400, "bad request line")
                        HttpRequest(parts[0], parts[1], parser.body(head, maxBodyBytes), !head.close)
                    } ?: return
                } catch (e: HttpError) {
                    write(connection, errorResponse(e.status, e.message ?: ""), false)
                    return
                }
            val response =
                try {
                    handle(request)
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    log.error("handling {} {} failed, responding with status 503", request.method, request.path, e)
                    HttpResponse(503, "{\"error\":\"internal\"}".encodeToByteArray(), retryAfterS = 1)
                }
            val keepOpen = request.keepAlive && !response.close && openConnections * 4 <= maxConnections * 3
            write(connection, response, keepOpen)
            if (!keepOpen) return
        }
    }

    private suspend fun write(
        connection: AsynchronousSocketChannel,
        response: HttpResponse,
        keepOpen: Boolean,
    ) {
        val head = StringBuilder(160)
        head
            .append(
                "HTTP/1.1 ",
            ).append(response.status)
            .append(' ')
            .append(reasonPhrase(response.status))
            .append("\r\nContent-Type: ")
            .append(response.type)
            .append("\r\nContent-Length: ")
            .append(response.body.size)
        if (response.retryAfterS != null) head.append("\r\nRetry-After: ").append(response.retryAfterS)
        if (!keepOpen) head.append("\r\nConnection: close")
        head.append("\r\n\r\n")
        withTimeoutOrNull(MESSAGE_TIMEOUT_MS) {
            connection.writeAll(concatenate(head, response.body))
        } ?: connection.closeQuietly()
    }

    private companion object {
        /** Least number of connections that may wait to be accepted. After an outage a whole fleet connects at once. */
        const val MIN_BACKLOG = 256

        /** A connection is closed if no request arrives for this time. */
        const val MAX_IDLE_MS = 120_000L

        /** A connection is closed if receiving a request or sending a response takes longer than this. */
        const val MESSAGE_TIMEOUT_MS = 10_000L
        const val ACCEPT_RETRY_DELAY_MS = 100L
    }
}

/** A buffer that holds [head], encoded as ISO 8859-1, and then [body]. */
internal fun concatenate(
    head: CharSequence,
    body: ByteArray,
): ByteBuffer {
    val headBytes = head.toString().toByteArray(Charsets.ISO_8859_1)
    return ByteBuffer
        .allocate(headBytes.size + body.size)
        .put(headBytes)
        .put(body)
        .flip()
}

/** A response whose JSON body has [message] in the field `error`. */
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
