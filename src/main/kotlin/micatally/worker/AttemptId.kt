package micatally.worker

import micatally.job.Attempt
import micatally.wire.Command
import micatally.wire.ListedTask

/** Identifies an attempt on a given machine: workers know an attempt by its task and its number. */
data class AttemptId(
    val jobId: String,
    val taskIndex: Int,
    val attempt: Long,
) {
    /** The id of an attempt in each of its forms. */
    companion object {
        fun of(attempt: Attempt) = AttemptId(attempt.job.jobId, attempt.taskIndex, attempt.number)

        fun of(task: ListedTask) = AttemptId(task.jobId, task.taskIndex, task.attempt)

        fun of(command: Command) = AttemptId(command.jobId, command.taskIndex, command.attempt)
    }
}
