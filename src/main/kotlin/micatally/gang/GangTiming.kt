package micatally.gang

/**
 * The times within which the workers of a gang act, from the settings.
 *
 * @property waitMs how long a worker lets a task wait for the others of its run before it ends the task
 * @property peerMs how soon after one task of a started run is gone or being stopped the others end by themselves
 */
class GangTiming(
    val waitMs: Long,
    val peerMs: Long,
    private val heartbeatIntervalMs: Long,
) {
    /**
     * How long a task may be known to wait before the controller gives its run up. It is shorter than [waitMs]: the heartbeat
     * that shows the task waiting may be late by an interval, and the stop has to arrive before the worker ends the task by
     * itself.
     */
    val giveUpAfterMs: Long get() = maxOf(waitMs / 2, waitMs - heartbeatIntervalMs * HEARTBEATS_OF_MARGIN)

    private companion object {
        const val HEARTBEATS_OF_MARGIN = 3
    }
}
