package micatally.worker

import micatally.job.Attempt
import micatally.wire.Command
import micatally.wire.ListedTask

/**
 * Identifies an attempt on a given machine by its task and its attempt number, as workers do.
 *
 * It is not unique across machines: a replaced task of a gang has the same attempt number on two machines.
 */
data class AttemptId(
    val jobId: String,
    val taskIndex: Int,
    val attempt: Long,
) {
    override fun toString() = "$jobId/$taskIndex#$attempt"

    /** Creates the id from each type that refers to an attempt. */
    companion object {
        fun of(attempt: Attempt) = AttemptId(attempt.job.jobId, attempt.taskIndex, attempt.number)

        fun of(task: ListedTask) = AttemptId(task.jobId, task.taskIndex, task.attempt)

        fun of(command: Command) = AttemptId(command.jobId, command.taskIndex, command.attempt)
    }
}
