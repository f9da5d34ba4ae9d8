package micatally.job

/**
 * The clocks of a controller. A simulation passes simulated ones.
 *
 * @property nowMs monotonic milliseconds, for durations and deadlines within this process
 * @property wallMs milliseconds since the epoch, for times that are stored
 */
class Clock(
    val nowMs: () -> Long,
    val wallMs: () -> Long,
)
