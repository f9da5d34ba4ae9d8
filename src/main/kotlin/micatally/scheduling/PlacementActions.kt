package micatally.scheduling

import micatally.gang.GangSupervisor
import micatally.job.Job
import micatally.job.JobManager
import micatally.job.JobStore
import micatally.quota.Quota
import micatally.worker.CommandDispatcher
import micatally.worker.Machine

/** The operations on this controller's jobs, quota and machines that the scheduler uses. */
class PlacementActions(
    private val jobManager: JobManager,
    private val store: JobStore,
    private val quota: Quota,
    private val dispatcher: CommandDispatcher,
) {
    val gangs: GangSupervisor get() = jobManager.gangs

    /** Returns the jobs of this controller's shards that are neither complete nor cancelled. */
    fun openJobs(): List<Job> = jobManager.openJobs()

    /**
     * Whether the quota admits [tasks] more tasks of the job now. If the allotment is too small, a larger one is
     * requested.
     */
    fun isWithinQuota(
        job: Job,
        tasks: Int = 1,
    ): Boolean = quota.allows(job, tasks)

    /**
     * Creates an attempt on the machine with the job's next attempt number. No command is sent before the intent is
     * durable.
     */
    fun createAttempt(
        job: Job,
        taskIndex: Int,
        machine: Machine,
    ) {
        jobManager.place(job, taskIndex, machine)
    }

    /**
     * Creates an attempt on the machine with the given attempt [number], since the tasks of a gang's run share one
     * number. No command is sent before the intent is durable.
     */
    fun createAttempt(
        job: Job,
        taskIndex: Int,
        machine: Machine,
        number: Long,
    ) {
        jobManager.place(job, taskIndex, machine, number)
    }

    /** Requests an urgent write of the job's record, which makes its new attempts durable. */
    fun requestWrite(job: Job) = store.requestWrite(job)

    /** Requests that pending commands, such as stops, are sent to the machine. */
    fun requestSync(machine: Machine) = dispatcher.requestSync(machine)
}
