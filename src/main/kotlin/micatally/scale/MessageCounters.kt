package micatally.scale

import micatally.emulator.MessageObserver
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/**
 * A kind of message on one interface.
 *
 * @property name an operation such as `poll`, or the last segment of the request path, such as `txn`
 */
data class MessageKind(
    val peer: MessageObserver.Interface,
    val name: String,
)

/**
 * Number and size of the messages of one kind.
 *
 * @property refused requests without an answer, or with a status that does not count as a normal answer
 */
data class MessageCount(
    val requests: Long,
    val refused: Long,
    val requestBytes: Long,
    val answerBytes: Long,
) {
    operator fun minus(earlier: MessageCount) =
        MessageCount(
            requests - earlier.requests,
            refused - earlier.refused,
            requestBytes - earlier.requestBytes,
            answerBytes - earlier.answerBytes,
        )

    companion object {
        val NONE = MessageCount(0, 0, 0, 0)
    }
}

/** Counts messages and the bytes of their bodies by interface and kind. Thread-safe. */
class MessageCounters : MessageObserver {
    private class Counters {
        val requests = LongAdder()
        val refused = LongAdder()
        val requestBytes = LongAdder()
        val answerBytes = LongAdder()

        fun count() = MessageCount(requests.sum(), refused.sum(), requestBytes.sum(), answerBytes.sum())
    }

    private val counters = ConcurrentHashMap<MessageKind, Counters>()

    override fun seen(
        peer: MessageObserver.Interface,
        method: String,
        target: String,
        requestBytes: Int,
        status: Int,
        answerBytes: Int,
    ) {
        val counter = counters.computeIfAbsent(MessageKind(peer, kindName(method, target))) { Counters() }
        counter.requests.increment()
        if (status !in NOT_REFUSED) counter.refused.increment()
        counter.requestBytes.add(requestBytes.toLong())
        counter.answerBytes.add(answerBytes.toLong())
    }

    fun counts(): Map<MessageKind, MessageCount> = counters.mapValues { (_, counter) -> counter.count() }

    private companion object {
        /**
         * Statuses that don't count as refused. A transaction whose condition fails and a job that does not exist are
         * normal answers too.
         */
        val NOT_REFUSED = setOf(200, 201, 404, 409, 410)

        fun kindName(
            method: String,
            target: String,
        ): String {
            val path = target.substringBefore('?')
            return when {
                path.startsWith("/keys/") -> "get"
                path == "/keys" -> "list"
                path.startsWith("/grants") -> "lease"
                path.endsWith("/cancel") -> "cancel"
                path.startsWith("/work/") -> "poll"
                path == "/work" -> "submit"
                path == "/machines" && method == "GET" -> "list machines"
                else -> path.substringAfterLast('/')
            }
        }
    }
}
