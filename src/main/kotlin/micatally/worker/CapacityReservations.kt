package micatally.worker

import micatally.wire.Resources

/**
 * Capacity of one machine that is kept for replicas of this controller's jobs which are about to move there, by job and task.
 *
 * A reservation counts as used, also in the summaries for the other controllers; otherwise another task would be there when the replica
 * comes.
 */
class CapacityReservations {
    private data class TaskId(
        val jobId: String,
        val taskIndex: Int,
    )

    private class Reservation(
        val resources: Resources,
        val untilMs: Long,
    )

    private val byTask = HashMap<TaskId, Reservation>()

    val isEmpty get() = byTask.isEmpty()

    /** Adds or renews the reservation. Returns false if the task had one before. */
    fun add(
        jobId: String,
        taskIndex: Int,
        resources: Resources,
        untilMs: Long,
    ): Boolean = byTask.put(TaskId(jobId, taskIndex), Reservation(resources, untilMs)) == null

    /** Removes the reservation, whether it is used or has expired. Returns what it held; null if there is none. */
    fun remove(
        jobId: String,
        taskIndex: Int,
    ): Resources? = byTask.remove(TaskId(jobId, taskIndex))?.resources

    fun contains(
        jobId: String,
        taskIndex: Int,
    ) = TaskId(jobId, taskIndex) in byTask

    /** Calls [action] for each reservation that has expired; it may remove it. */
    fun forEachExpired(
        nowMs: Long,
        action: (jobId: String, taskIndex: Int) -> Unit,
    ) {
        if (byTask.isEmpty()) return
        val expired = byTask.filterValues { it.untilMs <= nowMs }.keys
        for (task in expired) action(task.jobId, task.taskIndex)
    }
}
