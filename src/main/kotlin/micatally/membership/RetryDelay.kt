package micatally.membership

import kotlin.random.Random

/**
 * Random delays before a request to the state store is retried. They are random so that the controllers do not all
 * retry at the same time.
 *
 * @param liveMs the time to live of a controller's lease, in ms
 */
internal class RetryDelay(
    liveMs: Long,
    private val random: Random,
) {
    private val shortestMs = liveMs / DELAYS_PER_TTL

    /** Returns a delay in ms, from 1/32 up to 1/16 of the time to live. */
    fun nextMs(): Long = shortestMs + random.nextLong(shortestMs)

    private companion object {
        const val DELAYS_PER_TTL = 32
    }
}
