package micatally.controller

import micatally.job.JobManager
import micatally.membership.Membership
import micatally.scheduling.Scheduler
import micatally.worker.MachineRegistry
import micatally.worker.WorkerReach

/**
 * Periodically checks what may become due by the passage of time alone: expiry of leadership, contact with workers,
 * stops of cancelled tasks, overdue gangs, faults, replica migration and expired reservations.
 */
class StateReview(
    private val membership: Membership,
    private val workerReach: WorkerReach,
    private val jobManager: JobManager,
    private val scheduler: Scheduler,
    private val machines: MachineRegistry,
    private val cpuUsage: CpuUsage,
) {
    /** Runs all checks and counts their time as periodic tasks. */
    fun run(nowMs: Long) = cpuUsage.measure(CpuUsage.Kind.PERIODIC_TASKS) { review(nowMs) }

    /** Leadership is checked first, since the other checks depend on it. */
    private fun review(nowMs: Long) {
        membership.checkLeadership()
        workerReach.review()
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
