package micatally.job

import micatally.gang.GangSupervisor
import micatally.settings.Settings
import micatally.wire.ExitReason
import micatally.worker.Machine
import org.slf4j.LoggerFactory

/** Begins and ends attempts. Each attempt counts on its machine and against its team's limit from [attach] to [terminate]. */
class AttemptLifecycle(
    private val settings: Settings,
    private val store: JobStore,
    private val gangs: GangSupervisor,
    private val faults: FaultJudgement,
    private val collaborators: JobCollaborators,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.job")

    /**
     * Decides that the task starts on [machine]. Nothing is sent before the job's record is stored with the attempt.
     *
     * @param number names the attempt; each number is used once for a task of the job. The members of a gang share one, by
     * which they find each other.
     */
    fun place(
        job: Job,
        taskIndex: Int,
        machine: Machine,
        number: Long,
    ): Attempt {
        val attempt = Attempt(job, taskIndex, number, machine, machine.incarnation, job.service, AttemptState.INTENDED)
        job.gang?.addTriedMachine(taskIndex, machine.name)
        attach(attempt)
        log.info("task {}/{} attempt {} intended for {}", job.jobId, taskIndex, attempt.number, machine.name)
        return attempt
    }

    /** Makes [attempt] the one of its task; it counts on its machine and against the limit of its team from now on. */
    fun attach(attempt: Attempt) {
        attempt.job.attempts[attempt.taskIndex] = attempt
        attempt.machine.attach(attempt)
        collaborators.quota.addUsage(attempt.job)
    }

    /** The intents of these attempts are durable, so they may be sent. */
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
     * Takes the attempt forward to the [next] state that its machine reports. A report never takes it back, since reports
     * may arrive out of order.
     *
     * @return whether the state changed
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
     * The one place where an attempt ends. Its task may start elsewhere only after this, so it takes evidence that the
     * attempt neither runs nor can start any more. Does nothing if the attempt has ended already.
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
            // Preempted or lost: its run time counts as service that the job has had.
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
        // What a lost shard used was forgotten as a whole; its next leader has counted anew.
        if (job.shard.isLedHere) collaborators.quota.removeUsage(job)
    }

    /** The end of a job that is done is stored already; that its last attempts have ended may be written a little later. */
    private fun isWriteUrgent(attempt: Attempt): Boolean {
        val job = attempt.job
        val wasStopped = job.state == JobState.OPEN && attempt.stop != null
        return job.state == JobState.CANCELLED || wasStopped || job.isEndBeingWritten
    }

    /** What the worker's reason for an exit says about the machine, and about when to try the task again. */
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
     * Marks a task of the job as done, and the job as well if it was the last one. The tasks of a gang complete together: if
     * one is done, all are.
     *
     * @return false if the task was done already
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

    /** The job's service is that of its longest path of attempts, not the sum over its tasks. */
    private fun raiseService(
        job: Job,
        attempt: Attempt,
        ranMs: Long,
    ) {
        job.service = maxOf(job.service, attempt.inherited + ranMs / MS_PER_SECOND)
    }

    private companion object {
        const val MS_PER_SECOND = 1000.0
    }
}
