package micatally.scale

import micatally.emulator.MessageObserver
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** A kind of message on one interface, as `state txn` or `report /v1/report`. */
data class MessageKind(
    val peer: MessageObserver.Interface,
    val name: String,
)

/** Messages of one kind so far. */
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

/** Counts messages and bodies' bytes by interface and kind. Safe on all loops at once. */
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
        val counter = counters.computeIfAbsent(MessageKind(peer, nameOf(method, target))) { Counters() }
        counter.requests.increment()
        if (status !in ANSWERED) counter.refused.increment()
        counter.requestBytes.add(requestBytes.toLong())
        counter.answerBytes.add(answerBytes.toLong())
    }

    fun counts(): Map<MessageKind, MessageCount> = counters.mapValues { (_, counter) -> counter.count() }

    private companion object {
        /** Conditions that fail and jobs that are not there are answers too. */
        val ANSWERED = setOf(200, 201, 404, 409, 410)

        fun nameOf(
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
