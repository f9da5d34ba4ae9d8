package micatally.http

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.net.StandardSocketOptions
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousSocketChannel

/** An HTTP/1.1 client: one request at a time on a connection, kept-open connections used again, no waiting of one
 * address for another. Used from the event loop only. */
class Client(
    private val group: AsynchronousChannelGroup,
    private val maxSockets: Int,
    private val nowMs: () -> Long,
    private val maxResponseBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_SHARE,
) : HttpCaller {
    private val log = LoggerFactory.getLogger("micatally.http")

    private class Link(
        val channel: AsynchronousSocketChannel,
        val parser: Parser,
    ) {
        var idleSince = 0L
    }

    private val idle = HashMap<String, ArrayDeque<Link>>()
    private var sockets = 0

    override suspend fun call(
        addr: String,
        method: String,
        target: String,
        body: ByteArray?,
        timeoutMs: Long,
    ): Outcome {
        var sent = false
        var link: Link? = null
        var answer: Outcome? = null
        try {
            answer =
                withTimeoutOrNull(timeoutMs) {
                    val l = takeIdle(addr) ?: open(addr) ?: return@withTimeoutOrNull Outcome.NotSent
                    link = l
                    val head =
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
                    sent = true
                    l.channel.writeAll(joined(head, body ?: NOTHING))
                    val h = l.parser.head()
                    val status =
                        h.startLine
                            .split(' ')
                            .getOrNull(1)
                            ?.toIntOrNull() ?: throw HttpError(400, "bad status line")
                    val bytes = l.parser.body(h, maxResponseBytes)
                    if (!h.close && !l.parser.pending) {
                        link = null
                        keep(addr, l)
                    }
                    Outcome.Answer(status, bytes)
                }
        } catch (e: CancellationException) {
            throw e
        } catch (e: HttpError) {
            if (e.status == CONTENT_TOO_LARGE) {
                log.warn("{} {}{}: the answer has more than {} bytes", method, addr, target, maxResponseBytes)
                answer = Outcome.TooLarge
            }
        } catch (e: Exception) {
            // Reset, refused or not HTTP: what it proves depends only on whether bytes may have left.
        } finally {
            link?.let { discard(it) }
        }
        return answer ?: if (sent) Outcome.Silence else Outcome.NotSent
    }

    private fun takeIdle(addr: String): Link? {
        val list = idle[addr] ?: return null
        while (true) {
            val l = list.removeLastOrNull() ?: return null
            if (nowMs() - l.idleSince < IDLE_MS && l.channel.isOpen) return l
            discard(l)
        }
    }

    private fun keep(
        addr: String,
        l: Link,
    ) {
        l.idleSince = nowMs()
        idle.getOrPut(addr) { ArrayDeque() }.addLast(l)
    }

    private suspend fun open(addr: String): Link? {
        if (sockets >= maxSockets) sweep()
        // A kept connection is worth less than one that is needed now.
        if (sockets >=
            maxSockets
        ) {
            idle.values.filter { it.isNotEmpty() }.minByOrNull { it.first().idleSince }?.let {
                discard(
                    it.removeFirst(),
                )
            }
        }
        if (sockets >= maxSockets) return null
        sockets++
        val channel =
            try {
                AsynchronousSocketChannel.open(group)
            } catch (e: Exception) {
                sockets--
                throw e
            }
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            channel.connectTo(socketAddress(addr))
        } catch (e: Throwable) {
            sockets--
            channel.closeQuietly()
            throw e
        }
        return Link(channel, Parser({ channel.readInto(it) > 0 }))
    }

    private fun discard(l: Link) {
        sockets--
        l.channel.closeQuietly()
    }

    /** Closes connections that have been idle for long, so that machines that are gone hold no sockets. */
    fun sweep() {
        val now = nowMs()
        val each = idle.entries.iterator()
        while (each.hasNext()) {
            val list = each.next().value
            while (list.isNotEmpty() && now - list.first().idleSince >= IDLE_MS) discard(list.removeFirst())
            if (list.isEmpty()) each.remove()
        }
    }

    private companion object {
        const val IDLE_MS = 20_000L
        const val CONTENT_TOO_LARGE = 413

        /** An answer may take this share of the heap: what is made of its text takes several times as much. */
        const val HEAP_SHARE = 16
        val NOTHING = ByteArray(0)
    }
}
