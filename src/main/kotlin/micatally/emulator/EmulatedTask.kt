package micatally.emulator

import kotlinx.coroutines.Job
import micatally.wire.Resources

/** An attempt of a task on an emulated worker, from the command that starts it until the controllers clear it. */
class EmulatedTask(
    val jobId: String,
    val taskIndex: Int,
    val attempt: Long,
    val resources: Resources,
) {
    /** The status as heartbeats state it. */
    var status = PULLING
        internal set

    /** The exit reason as heartbeats state it; null until the task has ended. */
    var why: String? = null
        internal set

    /** Whether the task wrote its checkpoint before it ended. */
    var isSaved = false
        internal set

    /** The coroutine that carries the task on. */
    internal var job: Job? = null
    internal var run: GangTable.GangRun? = null
    internal var member: GangMember? = null

    /** Whether the task uses the machine: it has its image and has not ended. */
    val isOnMachine get() = status == WAITING || status == RUNNING || status == SAVING

    /** Whether the task has ended and only waits to be cleared. */
    val hasEnded get() = status == ENDED

    /** The values of [status]. */
    internal companion object {
        const val PULLING = "pulling"
        const val WAITING = "waiting"
        const val RUNNING = "running"
        const val SAVING = "saving"
        const val ENDED = "ended"
    }
}
