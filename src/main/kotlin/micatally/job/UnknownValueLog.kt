package micatally.job

import org.slf4j.Logger

/**
 * Logs warnings about values that this program does not know, each value once: workers repeat them in every report. Values
 * beyond the first [MAX_VALUES] are not logged.
 */
class UnknownValueLog(
    private val log: Logger,
) {
    private val loggedValues = HashSet<String>()

    /** Logs [message], whose last word is the unknown value, unless a message about that value was logged before. */
    fun warn(message: String) {
        if (loggedValues.size < MAX_VALUES && loggedValues.add(message.substringAfterLast(' '))) log.warn(message)
    }

    private companion object {
        const val MAX_VALUES = 100
    }
}
