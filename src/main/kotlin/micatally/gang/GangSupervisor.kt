package micatally.gang

import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.AttemptTermination
import micatally.job.Job
import micatally.job.JobState
import micatally.job.StopReason
import micatally.job.TerminationEvidence
import micatally.worker.Machine
import org.slf4j.LoggerFactory

/**
 * Follows the runs of this controller's gangs and carries out the decisions of [GangPolicy]. It only requests that
 * attempts stop. They end on termination evidence, like the attempts of any other job. Jobs that are not gangs are
 * ignored.
 */
class GangSupervisor(
    private val taskControl: GangTaskControl,
    private val timing: GangTiming,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.gang")

    /**
     * Called after a job was loaded from its record. The record shows the current run; whether this run has started is
     * known only after heartbeats have arrived.
     */
    fun restore(job: Job) {
        val gang = job.gang ?: return
        if (job.attempts.isNotEmpty()) gang.beginRun(job.attempts.values.maxOf { it.number })
    }

    /** Called when a heartbeat has reported a new state of an attempt. */
    fun onTaskReported(attempt: Attempt) {
        val job = attempt.job
        val gang = job.gang ?: return
        if (attempt.number != gang.runNumber) return
        if (attempt.state == AttemptState.WAITING) gang.onTaskWaiting(nowMs())
        val hasStarted = attempt.state >= AttemptState.RUNNING && gang.phase == GangPhase.WAITING
        if (!hasStarted) return
        gang.onTaskRunning()
        log.info("gang {}#{} runs", job.jobId, gang.runNumber)
        review(job, nowMs())
    }

    /** Called when an attempt has ended and has been removed from its job. */
    fun onTaskTerminated(
        attempt: Attempt,
        end: AttemptTermination,
    ) {
        val job = attempt.job
        val gang = job.gang ?: return
        if (job.wantsTasks && GangPolicy.endsRun(gang.phase, end)) {
            endRun(job, gang, "task ${attempt.taskIndex} is gone: ${end.reason?.word ?: end.detail}")
        }
        if (job.attempts.isEmpty()) gang.onAllTerminated()
    }

    /** Called regularly. Ends a run that lacks a task if it has started or can't get a replacement in time. */
    fun review(
        job: Job,
        nowMs: Long,
    ) {
        val gang = job.gang ?: return
        if (!job.wantsTasks) return
        if (GangPolicy.hasLostTask(job, gang)) endRun(job, gang, "it runs without all of its tasks")
        if (GangPolicy.isOverdue(job, gang, timing, nowMs)) endRun(job, gang, "a lost task can't be replaced in time")
    }

    /** Whether missing tasks of the current run may be placed under its number. */
    fun mayReplace(
        job: Job,
        gang: Gang,
        nowMs: Long,
    ): Boolean = GangPolicy.mayReplace(job, gang, timing, nowMs)

    /** Ends a run that waits for a task which would start too late. */
    fun giveUpRun(
        job: Job,
        reason: String,
    ) {
        val gang = job.gang ?: return
        if (gang.phase == GangPhase.WAITING) endRun(job, gang, reason)
    }

    /**
     * Lets all tasks save a checkpoint and exit, if [GangPolicy] allows it. Called when the cloud will reclaim one of
     * the machines.
     */
    fun stopGracefully(
        job: Job,
        reason: String,
        isReachable: (Machine) -> Boolean,
    ) {
        val gang = job.gang ?: return
        if (job.state != JobState.OPEN) return
        if (!GangPolicy.mayStopGracefully(job, gang) { isReachable(it.machine) }) return
        gang.beginGracefulStop()
        log.info("gang {}#{} is stopped: {}", job.jobId, gang.runNumber, reason)
        stopAll(job, StopReason.DRAIN)
    }

    /**
     * Stops every attempt of the current run. Attempts whose intent is not durable yet end at once, as no command was
     * sent for them. The others end on termination evidence.
     */
    fun stopAll(
        job: Job,
        reason: StopReason,
    ) {
        val now = nowMs()
        val machines = LinkedHashSet<Machine>()
        for (attempt in job.attempts.values.toList()) {
            if (attempt.state == AttemptState.INTENDED) {
                terminateUnsent(attempt)
                continue
            }
            attempt.stop(reason, now)
            machines.add(attempt.machine)
        }
        for (machine in machines) taskControl.requestSync(machine)
    }

    private fun terminateUnsent(attempt: Attempt) {
        val end = AttemptTermination(TerminationEvidence.NEVER_SENT, "the gang's run has ended")
        taskControl.terminate(attempt, end)
    }

    private fun endRun(
        job: Job,
        gang: Gang,
        reason: String,
    ) {
        gang.beginEnding()
        log.info("gang {}#{} ends: {}", job.jobId, gang.runNumber, reason)
        stopAll(job, StopReason.GANG_ENDED)
        if (job.attempts.isEmpty()) gang.onAllTerminated()
    }
}
