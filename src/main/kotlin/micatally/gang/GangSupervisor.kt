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

/** What the supervisor needs of the owner of the jobs. */
interface GangTaskControl {
    /** Ends an attempt of which nothing was sent. */
    fun terminate(
        attempt: Attempt,
        end: AttemptTermination,
    )

    fun requestSync(machine: Machine)
}

/** Carries out what [GangPolicy] decides for the gangs of this node. Attempts end as everywhere, through their owner. */
class GangSupervisor(
    private val taskControl: GangTaskControl,
    private val timing: GangTiming,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.gang")

    /** After a takeover: the record shows the run, and reports will show whether it has started. */
    fun restore(job: Job) {
        val gang = job.gang ?: return
        if (job.attempts.isNotEmpty()) gang.beginRun(job.attempts.values.maxOf { it.number })
    }

    /** A task of the job has been reported in a new state. */
    fun onTaskReported(attempt: Attempt) {
        val job = attempt.job
        val gang = job.gang ?: return
        if (attempt.number != gang.runNumber) return
        if (attempt.state == AttemptState.WAITING) gang.onTaskWaiting(nowMs())
        if (attempt.state >= AttemptState.RUNNING && gang.phase == GangPhase.WAITING) {
            gang.onTaskRunning()
            log.info("gang {}#{} runs", job.jobId, gang.runNumber)
            review(job, nowMs())
        }
    }

    /** An attempt of the job has just ended. */
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

    /** Looks at what time alone changes. */
    fun review(
        job: Job,
        nowMs: Long,
    ) {
        val gang = job.gang ?: return
        if (!job.wantsTasks) return
        if (GangPolicy.hasLostTask(job, gang)) endRun(job, gang, "it runs without all of its tasks")
        if (GangPolicy.isOverdue(job, gang, timing, nowMs)) endRun(job, gang, "it can't be whole in time")
    }

    fun mayReplace(
        job: Job,
        gang: Gang,
        nowMs: Long,
    ) = GangPolicy.mayReplace(job, gang, timing, nowMs)

    /** Gives a run up that waits for a task which would come too late. */
    fun giveUpRun(
        job: Job,
        reason: String,
    ) {
        val gang = job.gang ?: return
        if (gang.phase == GangPhase.WAITING) endRun(job, gang, reason)
    }

    /** One of the machines will be taken back: all tasks save, if each of them can be told. */
    fun stopGracefully(
        job: Job,
        reason: String,
        isReachable: (Machine) -> Boolean,
    ) {
        val gang = job.gang ?: return
        if (job.state != JobState.OPEN || !GangPolicy.mayStopGracefully(job, gang) { isReachable(it.machine) }) return
        gang.beginGracefulStop()
        log.info("gang {}#{} is stopped: {}", job.jobId, gang.runNumber, reason)
        stopAll(job, StopReason.DRAIN)
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

    /** Stops every task of the present run; those of which nothing was sent end at once. */
    fun stopAll(
        job: Job,
        reason: StopReason,
    ) {
        val now = nowMs()
        val machines = LinkedHashSet<Machine>()
        for (attempt in job.attempts.values.toList()) {
            if (attempt.state == AttemptState.INTENDED) {
                taskControl.terminate(
                    attempt,
                    AttemptTermination(TerminationEvidence.NEVER_SENT, "the gang's run has ended"),
                )
                continue
            }
            attempt.stop(reason, now)
            machines.add(attempt.machine)
        }
        for (machine in machines) taskControl.requestSync(machine)
    }
}
