package micatally.job

import org.slf4j.Logger

/**
 * Logs warnings about values in heartbeats that this program does not know. Each value is logged only once, because
 * workers repeat it in every heartbeat. After the first [MAX_VALUES] values no more are logged.
 */
class UnknownValueLog(
    private val log: Logger,
) {
    private val loggedValues = HashSet<String>()

    /**
     * Logs [message] unless a message about the same value was logged before. The value must be the last word of
     * [message].
     */
    fun warn(message: String) {
        if (loggedValues.size < MAX_VALUES && loggedValues.add(message.substringAfterLast(' '))) log.warn(message)
    }

    private companion object {
        const val MAX_VALUES = 100
    }
}
