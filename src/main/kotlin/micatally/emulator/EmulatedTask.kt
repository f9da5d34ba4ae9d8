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
    /** The status as heartbeats report it. */
    var status = PULLING
        internal set

    /** The exit reason as heartbeats report it; null until the task has ended. */
    var exitReason: String? = null
        internal set

    /** Whether the task wrote its checkpoint before it ended. */
    var isSaved = false
        internal set

    /** The coroutine that runs the task or saves its checkpoint. */
    internal var job: Job? = null

    /** The attempt of the gang that the task belongs to; null if it is not a task of a gang or has not joined yet. */
    internal var gangRun: GangTable.GangRun? = null

    /** The task as [gangRun] knows it; null together with [gangRun]. */
    internal var member: GangMember? = null

    /** Whether the task is on the machine: its image is there and the task has not ended. */
    val isOnMachine get() = status == WAITING || status == RUNNING || status == SAVING

    /** Whether the task has ended; it stays listed until a controller clears it. */
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
