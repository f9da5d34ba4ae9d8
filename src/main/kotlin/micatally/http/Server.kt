package micatally.http

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withTimeoutOrNull
import micatally.supervision.BackgroundFailures
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
 * @param memoryOf the memory for the body of a request to this target
 * @param handle produces the response to a request. If it throws, the response has status 503.
 */
class Server(
    private val scope: CoroutineScope,
    private val group: AsynchronousChannelGroup,
    private val addr: String,
    private val maxConnections: Int,
    private val maxBodyBytes: Long,
    private val memoryOf: (target: String) -> RequestMemory = RequestMemory(Long.MAX_VALUE).let { all -> { all } },
    private val handle: suspend (HttpRequest) -> HttpResponse,
) {
    private val log = LoggerFactory.getLogger("micatally.http")

    /** What has become of the connections and requests of this server. */
    val statistics = ServerStatistics()
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
     * cancelled. What fails on one connection ends neither the others nor the accepting.
     */
    fun start(): Job {
        if (!::serverChannel.isInitialized) bind()
        return scope.launch(CoroutineName("server $addr")) { supervisorScope { acceptConnections() } }
    }

    private suspend fun CoroutineScope.acceptConnections() {
        while (true) {
            try {
                startServing(serverChannel.acceptOne())
            } catch (failure: Throwable) {
                ensureActive()
                // Most likely the process has no free sockets. Without the delay this would be a busy loop.
                statistics.failed(failure)
                log.error("accepting a connection on {} failed, retrying soon: {}", addr, failure.toString())
                delay(ACCEPT_RETRY_DELAY_MS)
            }
        }
    }

    private fun CoroutineScope.startServing(connection: AsynchronousSocketChannel) {
        if (statistics.open >= maxConnections) {
            statistics.refused++
            connection.closeQuietly()
            return
        }
        statistics.open++
        try {
            launch { serveUntilClosed(connection) }.invokeOnCompletion { release(connection) }
        } catch (failure: Throwable) {
            release(connection)
            throw failure
        }
    }

    private fun release(connection: AsynchronousSocketChannel) {
        statistics.open--
        connection.closeQuietly()
    }

    private suspend fun serveUntilClosed(connection: AsynchronousSocketChannel) {
        try {
            serve(connection)
        } catch (failure: IOException) {
            log.debug("connection closed after a failure: {}", failure.toString())
        } catch (failure: Throwable) {
            currentCoroutineContext().ensureActive()
            statistics.failed(failure)
            log.error("a connection on {} was closed after a failure: {}", addr, failure.toString())
        }
    }

    private suspend fun serve(connection: AsynchronousSocketChannel) {
        connection.setOption(StandardSocketOptions.TCP_NODELAY, true)
        val parser = Parser({ connection.readInto(it) > 0 }, 2048)
        while (true) {
            val hasMessage = withTimeoutOrNull(MAX_IDLE_MS) { parser.awaitMessage() } ?: return
            if (!hasMessage || !answerNext(connection, parser)) return
        }
    }

    /** Reads the request that has begun and answers it. Returns whether the connection stays open. */
    private suspend fun answerNext(
        connection: AsynchronousSocketChannel,
        parser: Parser,
    ): Boolean {
        var memory: RequestMemory.Account? = null
        try {
            val request =
                withTimeoutOrNull(MESSAGE_TIMEOUT_MS) {
                    val head = readHead(parser)
                    val taken = memoryOf(head.target).open()
                    memory = taken
                    val body = parser.body(head.fields, maxBodyBytes, taken::take)
                    HttpRequest(head.method, head.target, body, !head.fields.close)
                } ?: return false
            val response = respond(request)
            val keepOpen = request.keepAlive && !response.close && statistics.open * 4 <= maxConnections * 3
            write(connection, response, keepOpen)
            return keepOpen
        } catch (e: HttpError) {
            statistics.requestRefused(e.status)
            val retryAfterS = if (e.status == HttpError.UNAVAILABLE) 1 else null
            write(connection, errorResponse(e.status, e.message ?: "", retryAfterS), false)
            return false
        } finally {
            memory?.close()
        }
    }

    /** What precedes the body of a request. */
    private class RequestHead(
        val method: String,
        val target: String,
        val fields: Head,
    )

    private suspend fun readHead(parser: Parser): RequestHead {
        val fields = parser.head()
        val parts = fields.startLine.split(' ')
        if (parts.size != 3 || !parts[2].startsWith("HTTP/1.")) throw HttpError(400, "bad request line")
        return RequestHead(parts[0], parts[1], fields)
    }

    private suspend fun respond(request: HttpRequest): HttpResponse =
        try {
            handle(request).also { if (it.status >= FIRST_ERROR_STATUS) statistics.requestRefused(it.status) }
        } catch (failure: Error) {
            reportFailure(request, failure)
            internalError(close = true)
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            reportFailure(request, failure)
            internalError(close = false)
        }

    private fun reportFailure(
        request: HttpRequest,
        failure: Throwable,
    ) {
        statistics.failed(failure)
        log.error(
            "handling {} {} with {} bytes on {} failed, responding with status 503: {}",
            request.method,
            request.path,
            request.body.size,
            addr,
            BackgroundFailures.describe(failure),
        )
    }

    private fun internalError(close: Boolean) =
        HttpResponse(503, "{\"error\":\"internal\"}".encodeToByteArray(), retryAfterS = 1, close = close)

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
        const val FIRST_ERROR_STATUS = 400
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
