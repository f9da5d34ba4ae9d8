package micatally.controller

import micatally.job.JobManager
import micatally.membership.Membership
import micatally.scheduling.Scheduler
import micatally.worker.MachineRegistry
import micatally.worker.WorkerReach

/** Finds what has become due by the passage of time alone: expired leases, overdue gangs, faults, reservations. */
class StateReview(
    private val membership: Membership,
    private val reach: WorkerReach,
    private val jobManager: JobManager,
    private val scheduler: Scheduler,
    private val machines: MachineRegistry,
    private val cpuUsage: CpuUsage,
) {
    /** Reviews all of it, and measures the time that this takes. */
    fun run(nowMs: Long) = cpuUsage.of(CpuUsage.Kind.PERIODIC_TASKS) { review(nowMs) }

    /** Leadership is checked first, since the other checks rest on it. */
    private fun review(nowMs: Long) {
        membership.checkLeadership()
        reach.review()
        jobManager.sweep()
        for (job in jobManager.openJobs()) {
            if (job.gang != null) jobManager.gangs.review(job, nowMs)
        }
        jobManager.faults.review(jobManager.openJobs(), nowMs)
        scheduler.requestCycle()
        scheduler.migrateReplicas(nowMs)
        for (machine in machines.byName.values) machine.releaseExpiredReservations(nowMs)
    }
}
