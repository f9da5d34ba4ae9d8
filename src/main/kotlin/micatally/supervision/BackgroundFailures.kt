package micatally.supervision

import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.CoroutineContext

/**
 * Logs and counts what has failed unexpectedly in the coroutines of one process, by the name of the work. It is an
 * element of their coroutine context.
 */
class BackgroundFailures : AbstractCoroutineContextElement(BackgroundFailures) {
    /** The key of the element. */
    companion object Key : CoroutineContext.Key<BackgroundFailures> {
        /** The first frames tell what failed; a stack that has overflowed has thousands. */
        private const val LOGGED_FRAMES = 12

        /** What fails again and again does so for the same reason, so later frames would only fill the log. */
        private const val FAILURES_WITH_FRAMES = 10

        /** The failure with its first frames and its cause, for the log. */
        fun describe(failure: Throwable): String {
            val frames = failure.stackTrace.take(LOGGED_FRAMES).joinToString("") { "\n\tat $it" }
            val cause = failure.cause?.let { "\ncaused by $it" } ?: ""
            return "$failure$frames$cause"
        }
    }

    private val log = LoggerFactory.getLogger("micatally.supervision")
    private val countsByName = ConcurrentHashMap<String, Int>()

    /** Never throws: when memory has run out, logging may fail too. */
    @Suppress("TooGenericExceptionCaught", "SwallowedException")
    fun record(
        name: String,
        failure: Throwable,
    ) {
        try {
            val count = countsByName.merge(name, 1, Int::plus) ?: 1
            val details = if (count <= FAILURES_WITH_FRAMES) describe(failure) else failure.toString()
            log.error("{} failed, {} times since the start: {}", name, count, details)
        } catch (_: Throwable) {
            // There is no further place to report to.
        }
    }

    /** The counts by name, such as `shared key watch=2`; empty if nothing has failed. */
    fun describe(): String = countsByName.entries.sortedBy { it.key }.joinToString(",") { "${it.key}=${it.value}" }
}
