package micatally.worker

import micatally.wire.CancelledTask

/** Tasks of cancelled jobs, as the owners told them. Whichever node hears their machines hands the stop on. A note is kept
 * well beyond the time that a cancellation has: its owner may end before it can say that the task is gone. */
class CancelledTasks(
    private val keepMs: Long,
    private val nowMs: () -> Long,
) {
    private val byMachine = HashMap<String, HashMap<AttemptId, Long>>()

    fun take(notes: List<CancelledTask>) {
        val until = nowMs() + keepMs
        for (k in notes) byMachine.getOrPut(k.machine) { HashMap() }[AttemptId(k.jobId, k.taskIndex, k.attempt)] = until
    }

    fun has(
        machine: String,
        id: AttemptId,
    ) = byMachine[machine]?.containsKey(id) == true

    /** Forgets what is old, unless its job's tasks are still [listed] in the state service. */
    fun prune(listed: (String) -> Boolean) {
        val now = nowMs()
        byMachine.values.removeIf { ids ->
            ids.entries.removeIf { (id, until) -> until < now && !listed(id.jobId) }
            ids.isEmpty()
        }
    }
}
