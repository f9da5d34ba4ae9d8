package micatally.worker

import micatally.wire.Resources

/**
 * Capacity of one machine that this controller reserves, by job and task. It is reserved for a replica of a service
 * that is about to move to the machine, and for the attempts of a shard that this controller has lost, until its new
 * leader reports what they hold.
 *
 * A reservation counts as used capacity, also in the summaries sent to the other controllers. Otherwise another task
 * could be placed on capacity that is about to be used or still in use.
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

    /** Adds or renews the task's reservation. Returns whether it is a new one. */
    fun add(
        jobId: String,
        taskIndex: Int,
        resources: Resources,
        untilMs: Long,
    ): Boolean = byTask.put(TaskId(jobId, taskIndex), Reservation(resources, untilMs)) == null

    /** Removes the task's reservation and returns the reserved resources; null if it has no reservation. */
    fun remove(
        jobId: String,
        taskIndex: Int,
    ): Resources? = byTask.remove(TaskId(jobId, taskIndex))?.resources

    fun contains(
        jobId: String,
        taskIndex: Int,
    ) = TaskId(jobId, taskIndex) in byTask

    /** Calls [action] for each expired reservation. The action may remove that reservation. */
    fun forEachExpired(
        nowMs: Long,
        action: (jobId: String, taskIndex: Int) -> Unit,
    ) {
        if (byTask.isEmpty()) return
        val expired = byTask.filterValues { it.untilMs <= nowMs }.keys
        for (task in expired) action(task.jobId, task.taskIndex)
    }
}
