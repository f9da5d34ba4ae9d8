package micatally.membership

import kotlin.random.Random

/** Randomised pauses before a request to the state store is repeated, so that the controllers do not retry in step. */
internal class RetryDelay(
    liveMs: Long,
    private val random: Random,
) {
    private val shortestMs = liveMs / PAUSES_PER_LIVE_TIME

    /** Draws the next pause, in milliseconds. */
    fun nextMs(): Long = shortestMs + random.nextLong(shortestMs)

    private companion object {
        const val PAUSES_PER_LIVE_TIME = 32
    }
}
