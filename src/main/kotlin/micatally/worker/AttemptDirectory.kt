package micatally.worker

import micatally.job.Attempt
import micatally.job.AttemptTermination

/**
 * Access to the jobs and attempts that this controller leads, as far as sending commands to machines needs it.
 *
 * Used from the event loop only.
 */
interface AttemptDirectory {
    /** Whether the job is durable and in an active shard that this controller leads. */
    fun isLedHere(jobId: String): Boolean

    /** The task's current attempt on any machine; null if it has none or the job is unknown to this controller. */
    fun attempt(
        jobId: String,
        taskIndex: Int,
    ): Attempt?

    /**
     * The attempt of this id if it is the current one of its task and was placed on this machine; else null. The machine
     * is compared too, because a replaced task of a gang has the same attempt number on two machines.
     */
    fun currentAttempt(
        id: AttemptId,
        machine: String,
    ): Attempt? = attempt(id.jobId, id.taskIndex)?.takeIf { it.number == id.attempt && it.machine.name == machine }

    /** Whether the job may not start or restart tasks at present, because the quota of its team was lowered. */
    fun isSuspended(jobId: String): Boolean

    /**
     * Marks the attempt as terminated on the given evidence, so that its task may be started elsewhere. Does nothing if
     * the attempt has terminated already.
     */
    fun terminate(
        attempt: Attempt,
        termination: AttemptTermination,
    )
}
