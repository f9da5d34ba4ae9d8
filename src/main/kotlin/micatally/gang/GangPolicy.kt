package micatally.gang

import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.AttemptTermination
import micatally.job.Job
import micatally.wire.ExitReason

/** Decisions about gangs. Pure functions: no I/O, no clock and no state. [GangSupervisor] carries them out. */
object GangPolicy {
    /** The exits of a task that never started on the machine it was sent to. */
    private val REFUSALS = setOf(ExitReason.FULL, ExitReason.IN_USE, ExitReason.UNKNOWN)

    /**
     * Whether the loss of one task ends the whole run.
     *
     * In a run that has started every loss does. In one that is not known to have started, a task that was refused, or that
     * was lost without an exit reason, may be replaced under the same number. This is safe even if the run has started
     * meanwhile: the replacement then waits alone, and is stopped with the rest. All other exits are caused only by a run that
     * has started or that waited in vain, so they end the run.
     */
    fun endsRun(
        phase: GangPhase,
        end: AttemptTermination,
    ): Boolean =
        when (phase) {
            GangPhase.RUNNING -> true
            GangPhase.WAITING -> end.reason != null && end.reason !in REFUSALS
            else -> false
        }

    /**
     * Whether missing tasks of the run may be placed again under its number. They may only if the run can't have started: each
     * of the other tasks is known to wait, or was sent by this very process and has not been reported running. There must also
     * be time left before the run has to be given up.
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

    /** An attempt that a former leader has sent may be running although no heartbeat has said so yet. */
    private fun isKnownNotToRun(attempt: Attempt): Boolean =
        when (attempt.state) {
            AttemptState.INTENDED, AttemptState.RECORDED, AttemptState.PULLING, AttemptState.WAITING -> true
            AttemptState.DISPATCHED -> attempt.sentAt != null
            else -> false
        }

    /** Whether a run that lacks a task has waited so long that no replacement can arrive in time. */
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

    /** Whether a run that has started lacks a task. A new leader may find one that is in this state. */
    fun hasLostTask(
        job: Job,
        gang: Gang,
    ): Boolean = gang.phase == GangPhase.RUNNING && job.attempts.size < job.taskCount

    /**
     * Whether a graceful stop of the run may begin. It saves the progress only if every task receives the stop within
     * [GangTiming.peerMs], so it is not begun while one of the machines is unreachable, while a task is missing or being
     * stopped, or for tasks that never save a checkpoint.
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
