package micatally.job

/**
 * The time of a controller; a simulation brings its own.
 *
 * @property nowMs monotonic milliseconds, for durations and deadlines within this process
 * @property wallMs milliseconds since the epoch, for times that are stored
 */
class Clock(
    val nowMs: () -> Long,
    val wallMs: () -> Long,
)
