package micatally.job

import micatally.quota.Quota
import micatally.worker.Machine

/**
 * What this package needs of parts of the controller that are themselves built on [JobManager]. Nothing here is called
 * before the controller is completely constructed.
 */
interface JobCollaborators {
    /** Counts what attempts use of their teams' quotas. */
    val quota: Quota

    /**
     * Requests that the commands which the machine's attempts need are sent. Returns at once; see
     * [micatally.worker.CommandDispatcher.requestSync].
     */
    fun requestSync(machine: Machine)

    /**
     * Requests a scheduling cycle, because machines may have free capacity again or tasks may be pending. Returns at
     * once.
     */
    fun requestCycle()

    /**
     * Asks the other controllers that have not confirmed the cancelled tasks of [job] yet to do so. Suspends until each
     * of them has answered or timed out. [Job.confirmedBy] then holds all that have confirmed.
     */
    suspend fun requestConfirmations(job: Job)
}
