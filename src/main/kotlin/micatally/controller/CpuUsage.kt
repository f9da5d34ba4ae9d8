package micatally.controller

import org.slf4j.LoggerFactory

/** What the processor's time goes to, by kind of work. Counted for operators; decides nothing. */
class CpuUsage(
    private val nowNs: () -> Long,
) {
    enum class Kind(
        val word: String,
    ) {
        REPORT(
            "reports",
        ),
        NEWS(
            "news",
        ),
        ROUND("rounds"),
        SHARED("shared keys"),
        ORDERS("orders"),
        KEEPER("keeper"),
        HOUSE("housekeeping"),
    }

    private val log = LoggerFactory.getLogger("micatally.cpu")

    @PublishedApi internal val times = LongArray(Kind.entries.size)

    @PublishedApi internal val counts = IntArray(Kind.entries.size)

    @PublishedApi internal val longest = LongArray(Kind.entries.size)

    @PublishedApi internal fun now() = nowNs()

    inline fun <T> of(
        kind: Kind,
        work: () -> T,
    ): T {
        val began = now()
        try {
            return work()
        } finally {
            val t = now() - began
            times[kind.ordinal] += t
            counts[kind.ordinal]++
            if (t > longest[kind.ordinal]) longest[kind.ordinal] = t
        }
    }

    private var newsReceived = 0L
    private var newsAnswered = 0L

    /** Bytes of a peer's news and of the answer to it. */
    fun newsTaken(
        received: Int,
        answered: Int,
    ) {
        newsReceived += received
        newsAnswered += answered
    }

    /** Bytes of peers' news since the last call. */
    fun news(): String =
        "newsReceived=$newsReceived newsAnswered=$newsAnswered".also {
            newsReceived = 0
            newsAnswered = 0
        }

    /** One line for the time since the last one. */
    fun tell(more: String) {
        log.info(
            "cpu usage {}{}",
            Kind.entries.joinToString(" ") {
                "${it.word}=${counts[it.ordinal]}x/${times[it.ordinal] / 1_000_000}ms/${longest[it.ordinal] / 1_000_000}ms"
            },
            more,
        )
        times.fill(0)
        counts.fill(0)
        longest.fill(0)
    }
}
