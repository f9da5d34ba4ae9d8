package micatally.worker

import micatally.job.Attempt
import micatally.job.AttemptTermination

/** What sending commands to machines needs of the jobs that this controller leads. Used from the event loop only. */
interface AttemptDirectory {
    /** Whether the job is durable and in an active shard that this controller leads. */
    fun isLedHere(jobId: String): Boolean

    /** The current attempt of the task, on whatever machine it is; null if the task has none or the job is unknown here. */
    fun attempt(
        jobId: String,
        taskIndex: Int,
    ): Attempt?

    /** Whether no task of the job may be started or started again, because the quota of its team was lowered. */
    fun isSuspended(jobId: String): Boolean

    /** Ends the attempt on the given evidence; its task may be started elsewhere from then on. No effect on one that has ended. */
    fun terminate(
        attempt: Attempt,
        termination: AttemptTermination,
    )
}
