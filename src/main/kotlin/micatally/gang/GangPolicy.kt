package micatally.gang

import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.AttemptTermination
import micatally.job.Job
import micatally.wire.ExitReason

/** The times within which the workers of a gang act, from the settings. */
class GangTiming(
    val waitMs: Long,
    val peerMs: Long,
    private val heartbeatIntervalMs: Long,
) {
    /**
     * For how long a task may be seen waiting before its run is given up: a report may be late by its interval, and the stop
     * has to arrive before the worker ends the task by itself.
     */
    val giveUpAfterMs get() = maxOf(waitMs / 2, waitMs - heartbeatIntervalMs * HEARTBEATS_OF_MARGIN)

    private companion object {
        const val HEARTBEATS_OF_MARGIN = 3
    }
}

/** Decisions about gangs; no I/O and no clock. */
object GangPolicy {
    /**
     * Whether a gang gives its run up after one of its tasks is gone. A task that was refused, or lost before the run is known to have started, may be replaced under the same number.
     * Should the run have started meanwhile, the replacement waits alone and is stopped with the rest. Exits that only a
     * started or an incomplete run causes end the run.
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

    /** A missing task may be placed only when each other task is known to wait, or has been sent by this process. */
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

    private fun isKnownNotToRun(attempt: Attempt) =
        when (attempt.state) {
            AttemptState.INTENDED, AttemptState.RECORDED, AttemptState.PULLING, AttemptState.WAITING -> true
            AttemptState.DISPATCHED -> attempt.sentAt != null
            else -> false
        }

    /** Whether a run that is not whole has waited so long that no replacement can arrive in time. */
    fun isOverdue(
        job: Job,
        gang: Gang,
        timing: GangTiming,
        nowMs: Long,
    ): Boolean {
        val waitingSinceMs = gang.waitingSinceMs ?: return false
        return gang.phase == GangPhase.WAITING && job.attempts.size < job.taskCount &&
            nowMs - waitingSinceMs >= timing.giveUpAfterMs
    }

    /** A run that has started and lacks a task, as a new owner may find it. */
    fun hasLostTask(
        job: Job,
        gang: Gang,
    ) = gang.phase == GangPhase.RUNNING && job.attempts.size < job.taskCount

    /**
     * An orderly stop saves the progress only if each task is told within [GangTiming.peerMs]; so it is not begun while a
     * machine can't be reached, and not for tasks that never save.
     */
    fun mayStopGracefully(
        job: Job,
        gang: Gang,
        isReachable: (Attempt) -> Boolean,
    ): Boolean {
        val savesCheckpoints = (job.spec?.checkpointS ?: 0.0) > 0
        val isUp = gang.phase == GangPhase.RUNNING || gang.phase == GangPhase.WAITING
        return savesCheckpoints && isUp && job.attempts.size == job.taskCount &&
            job.attempts.values.all { it.stop == null && isReachable(it) }
    }

    private val REFUSALS = setOf(ExitReason.FULL, ExitReason.IN_USE, ExitReason.UNKNOWN)
}
