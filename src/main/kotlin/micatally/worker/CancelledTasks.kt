package micatally.worker

import micatally.wire.CancelledTask

/**
 * The tasks of cancelled jobs of all shards, as reported by the shards' leaders.
 *
 * Any controller that receives a heartbeat with such a task sends the worker a kill command for it. An entry is kept
 * for longer than a cancellation may take, because the leader may end before it can report that the task has
 * terminated. Used from the event loop only.
 *
 * @param keepMs minimum time for which an entry is kept, in milliseconds
 */
class CancelledTasks(
    private val keepMs: Long,
    private val nowMs: () -> Long,
) {
    private val keptUntilMs = HashMap<String, HashMap<AttemptId, Long>>()

    /** Adds the tasks, or renews their entries. */
    fun add(cancelledTasks: List<CancelledTask>) {
        val untilMs = nowMs() + keepMs
        for (task in cancelledTasks) {
            val untilMsByAttempt = keptUntilMs.getOrPut(task.machine) { HashMap() }
            untilMsByAttempt[AttemptId(task.jobId, task.taskIndex, task.attempt)] = untilMs
        }
    }

    /** Whether the attempt on this machine is known to belong to a cancelled job. */
    fun has(
        machine: String,
        id: AttemptId,
    ) = keptUntilMs[machine]?.containsKey(id) == true

    /** Removes expired entries, except for jobs whose cancelled tasks are still [listed] in the state store. */
    fun prune(listed: (jobId: String) -> Boolean) {
        val now = nowMs()
        keptUntilMs.values.removeIf { untilMsByAttempt ->
            untilMsByAttempt.entries.removeIf { (id, untilMs) -> untilMs < now && !listed(id.jobId) }
            untilMsByAttempt.isEmpty()
        }
    }
}
