package micatally.worker

import micatally.wire.CancelledTask

/**
 * Tasks of cancelled jobs, as the leaders of their shards have told. Whichever controller hears the machines of such tasks passes the
 * kill on. An entry is kept well beyond the time that a cancellation may take: the leader may end before it can say that the task is
 * gone. Used from the event loop only.
 *
 * @param keepMs how long an entry is kept at least
 */
class CancelledTasks(
    private val keepMs: Long,
    private val nowMs: () -> Long,
) {
    private val keptUntilMs = HashMap<String, HashMap<AttemptId, Long>>()

    fun take(cancelledTasks: List<CancelledTask>) {
        val untilMs = nowMs() + keepMs
        for (task in cancelledTasks) {
            val ofMachine = keptUntilMs.getOrPut(task.machine) { HashMap() }
            ofMachine[AttemptId(task.jobId, task.taskIndex, task.attempt)] = untilMs
        }
    }

    /** Whether the attempt on this machine is known to be cancelled. */
    fun has(
        machine: String,
        id: AttemptId,
    ) = keptUntilMs[machine]?.containsKey(id) == true

    /** Forgets entries that are old enough, unless the cancelled tasks of their job are still [listed] in the state store. */
    fun prune(listed: (jobId: String) -> Boolean) {
        val now = nowMs()
        keptUntilMs.values.removeIf { ofMachine ->
            ofMachine.entries.removeIf { (id, untilMs) -> untilMs < now && !listed(id.jobId) }
            ofMachine.isEmpty()
        }
    }
}
