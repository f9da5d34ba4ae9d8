package micatally.http

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.net.StandardSocketOptions
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousSocketChannel

/**
 * An HTTP/1.1 client. It sends one request at a time on a connection and reuses connections that were kept open. A
 * request to one address does not wait for requests to other addresses. Used from the event loop only.
 *
 * @param maxSockets maximum number of open connections. A request that needs one more is not sent.
 * @param maxResponseBytes maximum size of a response body. The outcome of a larger one is [Outcome.TooLarge].
 */
class Client(
    private val group: AsynchronousChannelGroup,
    private val maxSockets: Int,
    private val nowMs: () -> Long,
    private val maxResponseBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR,
) : HttpCaller {
    private val log = LoggerFactory.getLogger("micatally.http")

    private class Connection(
        val channel: AsynchronousSocketChannel,
        val parser: Parser,
    ) {
        var idleSinceMs = 0L
    }

    /** Open connections without a request, by address. Those that have been idle for longest come first. */
    private val idleConnections = HashMap<String, ArrayDeque<Connection>>()
    private var openSockets = 0

    override suspend fun call(
        addr: String,
        method: String,
        target: String,
        body: ByteArray?,
        timeoutMs: Long,
    ): Outcome {
        var mayHaveSent = false
        var connectionToDiscard: Connection? = null
        var outcome: Outcome? = null
        try {
            outcome =
                withTimeoutOrNull(timeoutMs) {
                    val connection = takeIdle(addr) ?: connect(addr) ?: return@withTimeoutOrNull Outcome.NotSent
                    connectionToDiscard = connection
                    val requestHead =
                        StringBuilder(
                            128,
                        ).append(method)
                            .append(' ')
                            .append(target)
                            .append(" HTTP/1.1\r\nHost: ")
                            .append(addr)
                            .append("\r\nContent-Length: ")
                            .append(body?.size ?: 0)
                            .append("\r\n\r\n")
                    mayHaveSent = true
                    connection.channel.writeAll(concatenate(requestHead, body ?: EMPTY_BODY))
                    val responseHead = connection.parser.head()
                    val status =
                        responseHead.startLine
                            .split(' ')
                            .getOrNull(1)
                            ?.toIntOrNull() ?: throw HttpError(400, "bad status line")
                    val responseBody = connection.parser.body(responseHead, maxResponseBytes)
                    if (!responseHead.close && !connection.parser.hasPendingBytes) {
                        connectionToDiscard = null
                        keepIdle(addr, connection)
                    }
                    Outcome.Answer(status, responseBody)
                }
        } catch (e: CancellationException) {
            throw e
        } catch (e: HttpError) {
            if (e.status == CONTENT_TOO_LARGE) {
                log.warn("{} {}{}: the answer has more than {} bytes", method, addr, target, maxResponseBytes)
                outcome = Outcome.TooLarge
            }
        } catch (e: Error) {
            log.error("{} {}{} failed: {}", method, addr, target, e.toString())
        } catch (e: Exception) {
            // The connection was refused or reset, or failed otherwise. The outcome depends only on whether bytes of
            // the request may have been sent.
        } finally {
            connectionToDiscard?.let { discard(it) }
        }
        return outcome ?: if (mayHaveSent) Outcome.NoResponse else Outcome.NotSent
    }

    private fun takeIdle(addr: String): Connection? {
        val connections = idleConnections[addr] ?: return null
        while (true) {
            val connection = connections.removeLastOrNull() ?: return null
            if (nowMs() - connection.idleSinceMs < MAX_IDLE_MS && connection.channel.isOpen) return connection
            discard(connection)
        }
    }

    private fun keepIdle(
        addr: String,
        connection: Connection,
    ) {
        connection.idleSinceMs = nowMs()
        idleConnections.getOrPut(addr) { ArrayDeque() }.addLast(connection)
    }

    private suspend fun connect(addr: String): Connection? {
        if (openSockets >= maxSockets) closeIdleConnections()
        // The connection that has been idle for longest makes room for the new one, which is needed now.
        if (openSockets >=
            maxSockets
        ) {
            idleConnections.values.filter { it.isNotEmpty() }.minByOrNull { it.first().idleSinceMs }?.let {
                discard(
                    it.removeFirst(),
                )
            }
        }
        if (openSockets >= maxSockets) return null
        openSockets++
        val channel =
            try {
                AsynchronousSocketChannel.open(group)
            } catch (e: Throwable) {
                openSockets--
                throw e
            }
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            channel.connectTo(socketAddress(addr))
            return Connection(channel, Parser({ channel.readInto(it) > 0 }))
        } catch (e: Throwable) {
            openSockets--
            channel.closeQuietly()
            throw e
        }
    }

    private fun discard(connection: Connection) {
        openSockets--
        connection.channel.closeQuietly()
    }

    /** Closes connections that have been idle for [MAX_IDLE_MS], so that machines that are gone occupy no sockets. */
    fun closeIdleConnections() {
        val now = nowMs()
        val entries = idleConnections.entries.iterator()
        while (entries.hasNext()) {
            val idle = entries.next().value
            while (idle.isNotEmpty() && now - idle.first().idleSinceMs >= MAX_IDLE_MS) discard(idle.removeFirst())
            if (idle.isEmpty()) entries.remove()
        }
    }

    private companion object {
        const val MAX_IDLE_MS = 20_000L
        const val CONTENT_TOO_LARGE = 413

        /**
         * The size of the heap divided by this is the default limit of a response body. What is parsed from the text of
         * a body takes several times as much memory as the text.
         */
        const val HEAP_DIVISOR = 16
        val EMPTY_BODY = ByteArray(0)
    }
}
