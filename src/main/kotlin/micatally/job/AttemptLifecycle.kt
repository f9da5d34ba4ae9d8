package micatally.job

import micatally.gang.GangSupervisor
import micatally.settings.Settings
import micatally.wire.ExitReason
import micatally.worker.Machine
import org.slf4j.LoggerFactory

/**
 * Creates attempts, moves them forward and ends them. Each attempt uses capacity of its machine and of its team's quota
 * from [attach] until [terminate].
 */
class AttemptLifecycle(
    private val settings: Settings,
    private val store: JobStore,
    private val gangs: GangSupervisor,
    private val faults: FaultAttribution,
    private val collaborators: JobCollaborators,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.job")

    /**
     * Creates an attempt to run the task on [machine]. No command is sent before the job's record is stored with the
     * attempt.
     *
     * @param number distinguishes the attempts of a task. It must not be used twice for the same task and machine. All
     * attempts of one run of a gang have the same number, by which the gang's tasks find each other.
     */
    fun place(
        job: Job,
        taskIndex: Int,
        machine: Machine,
        number: Long,
    ): Attempt {
        val attempt =
            Attempt(job, taskIndex, number, machine, machine.incarnation, job.attainedServiceS, AttemptState.INTENDED)
        job.gang?.addTriedMachine(taskIndex, machine.name)
        attach(attempt)
        log.info("task {}/{} attempt {} placed on {}, not sent yet", job.jobId, taskIndex, attempt.number, machine.name)
        return attempt
    }

    /**
     * Makes [attempt] the current one of its task. It uses capacity of its machine and of its team's quota from now on.
     */
    fun attach(attempt: Attempt) {
        attempt.job.attempts[attempt.taskIndex] = attempt
        attempt.machine.attach(attempt)
        collaborators.quota.addUsage(attempt.job)
    }

    /** Marks those of [attempts] that are intended as durable, and requests syncs that send their run commands. */
    fun markRecorded(attempts: List<Attempt>) {
        val touchedMachines = LinkedHashSet<Machine>()
        for (attempt in attempts) {
            if (!attempt.isLive || attempt.state != AttemptState.INTENDED) continue
            attempt.transitionTo(AttemptState.RECORDED, nowMs())
            touchedMachines.add(attempt.machine)
        }
        for (machine in touchedMachines) collaborators.requestSync(machine)
    }

    /**
     * Moves the attempt forward to the [next] state, which its machine has reported. Reports may arrive out of order,
     * so one of an earlier state is ignored.
     *
     * @return whether the attempt's state has changed
     */
    fun advance(
        attempt: Attempt,
        next: AttemptState,
    ): Boolean {
        if (attempt.state < AttemptState.DISPATCHED || attempt.state >= next) return false
        attempt.transitionTo(next, nowMs())
        gangs.onTaskReported(attempt)
        return true
    }

    /**
     * Ends the attempt. This is the only place where an attempt ends.
     *
     * The task may be started elsewhere from then on. So the caller must have evidence that the attempt neither runs
     * nor can start any more. Does nothing if the attempt has ended already.
     */
    fun terminate(
        attempt: Attempt,
        termination: AttemptTermination,
    ) {
        if (!attempt.isLive) return
        val job = attempt.job
        val now = nowMs()
        val ranMs = attempt.runningSince?.let { now - it } ?: 0L
        attempt.transitionTo(AttemptState.TERMINATED, now)
        detach(attempt, now)
        log.info("task {} terminated: {}", attempt, termination)
        if (job.state == JobState.DROPPED) return
        if (termination.proof == TerminationEvidence.COMPLETED) {
            taskCompleted(attempt, ranMs)
        } else if (ranMs > 0 && job.spec?.isService == false) {
            // The attempt was stopped or lost. Its run time still counts as service that the job has attained.
            raiseService(job, attempt, ranMs)
        }
        applyExitReason(attempt, termination.reason, ranMs, now)
        gangs.onTaskTerminated(attempt, termination)
        if (isWriteUrgent(attempt)) store.requestWrite(job) else store.requestWriteLater(job)
        collaborators.requestCycle()
    }

    private fun detach(
        attempt: Attempt,
        now: Long,
    ) {
        val job = attempt.job
        attempt.machine.detach(attempt, now)
        job.attempts.remove(attempt.taskIndex, attempt)
        // When a shard is lost, its usage is dropped as a whole, and the next leader counts it anew.
        if (job.shard.isLedHere) collaborators.quota.removeUsage(job)
    }

    /**
     * Whether the end of [attempt] has to be written at once: if its job is cancelled, if the attempt was stopped while
     * its job is open, or if the end of the job is being written. All else may wait, such as the last attempts of a job
     * that is stored as done.
     */
    private fun isWriteUrgent(attempt: Attempt): Boolean {
        val job = attempt.job
        val wasStopped = job.state == JobState.OPEN && attempt.stop != null
        return job.state == JobState.CANCELLED || wasStopped || job.isEndBeingWritten
    }

    /**
     * Draws conclusions from the worker's exit [reason]: an error counts against the job or the machine, a machine
     * without room gets no tasks for one heartbeat interval, and after any other refusal no task of the job is placed
     * for as long.
     */
    private fun applyExitReason(
        attempt: Attempt,
        reason: ExitReason?,
        ranMs: Long,
        now: Long,
    ) {
        when (reason) {
            ExitReason.ERROR -> faults.taskFailed(attempt, ranMs, now)
            ExitReason.FULL -> attempt.machine.fullUntil = now + settings.heartbeatIntervalMs
            ExitReason.UNKNOWN, ExitReason.IN_USE -> attempt.job.retryAt = now + settings.heartbeatIntervalMs
            else -> {}
        }
    }

    private fun taskCompleted(
        attempt: Attempt,
        ranMs: Long,
    ) {
        val job = attempt.job
        if (!markDone(job, attempt.taskIndex)) return
        faults.taskCompleted(attempt, nowMs())
        raiseService(job, attempt, ranMs)
        if (job.state == JobState.DONE) store.requestWrite(job)
    }

    /**
     * Marks a task of the job as done, and the job too if all of its tasks are done. The tasks of a gang complete
     * together, so if one of them is done, all of them are.
     *
     * @return false if the task was done already or is not one of the job's
     */
    fun markDone(
        job: Job,
        taskIndex: Int,
    ): Boolean {
        if (!job.markDone(taskIndex)) return false
        if (job.gang != null) for (other in 0 until job.taskCount) job.markDone(other)
        if (job.doneCount == job.taskCount && job.state == JobState.OPEN) {
            job.transitionTo(JobState.DONE)
            log.info("job {} done", job.jobId)
        }
        return true
    }

    /**
     * Raises the job's attained service to what this attempt inherited plus its own run time, if that is more. So the
     * service is that of the longest chain of attempts that followed each other, not the sum over all tasks.
     */
    private fun raiseService(
        job: Job,
        attempt: Attempt,
        ranMs: Long,
    ) {
        job.attainedServiceS = maxOf(job.attainedServiceS, attempt.inheritedServiceS + ranMs / MS_PER_SECOND)
    }

    private companion object {
        const val MS_PER_SECOND = 1000.0
    }
}
