package micatally.controller

import kotlinx.coroutines.delay
import micatally.supervision.completes
import org.slf4j.LoggerFactory

/**
 * A task that repeats for as long as a controller runs.
 *
 * @property name the name of the task in the log
 * @property everyTicks the interval of the task: it runs at each tick whose number is a multiple of this
 * @property run runs the task once; receives the time of the tick, in milliseconds on the controller's clock
 */
class PeriodicTask(
    val name: String,
    val everyTicks: Int,
    val run: suspend (nowMs: Long) -> Unit,
)

/**
 * Runs tasks one after another in a single coroutine. The tasks of a tick run in the order of the list and all receive
 * the same time. The next tick begins [tickMs] milliseconds after the last of them has returned.
 */
class PeriodicTasks(
    private val tickMs: Long,
    private val nowMs: () -> Long,
    private val tasks: List<PeriodicTask>,
) {
    private val log = LoggerFactory.getLogger("micatally.controller")

    /** Runs the tasks until the coroutine is cancelled. The first tick comes after [tickMs]. */
    suspend fun runForever() {
        log.debug(
            "starting periodic tasks with a tick of {} ms: {}",
            tickMs,
            tasks.joinToString { "${it.name} (every ${it.everyTicks} ticks)" },
        )
        var tick = 0
        while (true) {
            delay(tickMs)
            tick++
            runTick(tick)
        }
    }

    private suspend fun runTick(tick: Int) {
        val now = nowMs()
        for (task in tasks) {
            if (tick % task.everyTicks == 0) completes(task.name) { task.run(now) }
        }
    }
}
