package micatally.job

import micatally.quota.Quota
import micatally.worker.Machine

/**
 * The parts of a controller that the jobs need and that are themselves built on the jobs. Nothing here is called before the
 * controller is complete.
 */
interface JobCollaborators {
    /** Counts what attempts use of the limits of their teams. */
    val quota: Quota

    /** Brings the machine in line with its attempts, see [micatally.worker.CommandDispatcher.requestSync]. Returns at once. */
    fun requestSync(machine: Machine)

    /** Asks for a scheduling cycle soon, since machines or tasks may have become free. Returns at once. */
    fun requestCycle()

    /**
     * Asks those other controllers that have not confirmed the cancelled tasks of [job] yet to do so, and returns once each
     * of them has answered or timed out; [Job.confirmedBy] then holds those that did confirm.
     */
    suspend fun requestConfirmations(job: Job)
}
