package micatally.gang

/**
 * The times after which workers end tasks of a gang by themselves, from the settings.
 *
 * @property waitMs how long a worker lets a task wait for the others of its run before it ends the task, in ms
 * @property peerMs how long after one task of a started run has ended or is being stopped the others end by themselves,
 * in ms
 */
class GangTiming(
    val waitMs: Long,
    val peerMs: Long,
    private val heartbeatIntervalMs: Long,
) {
    /**
     * How long a task may be known to wait before the controller gives up its run, in ms. It is shorter than [waitMs],
     * as the heartbeat that reports the task waiting may be late by an interval, and the stop command has to arrive
     * before the worker ends the task by itself.
     */
    val giveUpAfterMs: Long get() = maxOf(waitMs / 2, waitMs - heartbeatIntervalMs * HEARTBEATS_OF_MARGIN)

    private companion object {
        /** How many heartbeat intervals before [waitMs] a run is given up, but not before half of [waitMs]. */
        const val HEARTBEATS_OF_MARGIN = 3
    }
}
