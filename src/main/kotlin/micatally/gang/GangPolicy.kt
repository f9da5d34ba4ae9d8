package micatally.gang

import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.AttemptTermination
import micatally.job.Job
import micatally.wire.ExitReason

/**
 * Decides when runs of gangs end and when their tasks may be replaced. All functions are pure: no I/O, no clock and no
 * state. [GangSupervisor] carries out the decisions.
 */
object GangPolicy {
    /** The exit reasons of a task that never started on the machine it was sent to. */
    private val REFUSAL_REASONS = setOf(ExitReason.FULL, ExitReason.IN_USE, ExitReason.UNKNOWN)

    /**
     * Whether the loss of one task ends the whole run.
     *
     * If the run has started, every loss ends it. If the run is not known to have started, a task that was refused, or
     * that was lost without an exit reason, may be replaced under the same number. This is safe even if the run has
     * started in the meantime: the replacement then waits alone and is stopped with the other tasks. Every other exit
     * shows that the run has started or that its tasks have waited in vain for the others, so it ends the run.
     */
    fun endsRun(
        phase: GangPhase,
        end: AttemptTermination,
    ): Boolean =
        when (phase) {
            GangPhase.RUNNING -> true
            GangPhase.WAITING -> end.reason != null && end.reason !in REFUSAL_REASONS
            else -> false
        }

    /**
     * Whether missing tasks of the run may be placed again under its number. This is allowed only if the run can't have
     * started: every other attempt has not been sent yet, was sent by this process and has not been reported running,
     * or is known to pull its image or to wait. None of them may be stopping, and there must be time left before the
     * run is given up.
     */
    fun mayReplace(
        job: Job,
        gang: Gang,
        timing: GangTiming,
        nowMs: Long,
    ): Boolean {
        if (gang.phase != GangPhase.WAITING) return false
        val waitedMs = gang.waitingSinceMs?.let { nowMs - it } ?: 0L
        if (waitedMs >= timing.giveUpAfterMs) return false
        return job.attempts.values.all { it.stop == null && isKnownNotToRun(it) }
    }

    /**
     * Whether the attempt is known not to run. An attempt whose run command a former leader has sent may be running
     * although no heartbeat has reported it yet.
     */
    private fun isKnownNotToRun(attempt: Attempt): Boolean =
        when (attempt.state) {
            AttemptState.INTENDED, AttemptState.RECORDED, AttemptState.PULLING, AttemptState.WAITING -> true
            AttemptState.DISPATCHED -> attempt.sentAt != null
            else -> false
        }

    /** Whether a run that lacks a task has waited for so long that a replacement can't start in time. */
    fun isOverdue(
        job: Job,
        gang: Gang,
        timing: GangTiming,
        nowMs: Long,
    ): Boolean {
        val waitingSinceMs = gang.waitingSinceMs ?: return false
        val isIncomplete = gang.phase == GangPhase.WAITING && job.attempts.size < job.taskCount
        return isIncomplete && nowMs - waitingSinceMs >= timing.giveUpAfterMs
    }

    /** Whether a run that has started lacks a task. A new leader may find a run in this state. */
    fun hasLostTask(
        job: Job,
        gang: Gang,
    ): Boolean = gang.phase == GangPhase.RUNNING && job.attempts.size < job.taskCount

    /**
     * Whether a graceful stop of the run may begin. It saves the progress only if every task receives the stop command
     * within [GangTiming.peerMs]. So it must not begin while one of the machines is unreachable, or while a task is
     * missing or already stopping. It is useless for tasks that never save a checkpoint.
     */
    fun mayStopGracefully(
        job: Job,
        gang: Gang,
        isReachable: (Attempt) -> Boolean,
    ): Boolean {
        val savesCheckpoints = (job.spec?.checkpointS ?: 0.0) > 0
        val isUp = gang.phase == GangPhase.RUNNING || gang.phase == GangPhase.WAITING
        val isComplete = job.attempts.size == job.taskCount
        if (!savesCheckpoints || !isUp || !isComplete) return false
        return job.attempts.values.all { it.stop == null && isReachable(it) }
    }
}
