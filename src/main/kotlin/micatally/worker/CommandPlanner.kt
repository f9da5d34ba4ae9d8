package micatally.worker

import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.AttemptTermination
import micatally.job.ShardState
import micatally.job.StopReason
import micatally.job.TerminationEvidence
import micatally.wire.Command
import micatally.wire.CommandType
import micatally.wire.ListedTask

/**
 * Decides what to send to a machine so that it runs what this controller wants it to run. Sends nothing itself.
 *
 * The decision is made anew each time from the attempts and the machine's last task list, so a lost request or response needs no
 * bookkeeping: the next request contains again what is still missing. Used from the event loop only.
 *
 * @param killIntervalMs how long after a kill command the next one for the same attempt is sent
 * @param fencingToken the highest fencing token that this controller knows
 * @param mayStart whether tasks may be started at all at the moment
 * @param requireHigherFencingToken called when a run command may still arrive that only a higher fencing token can rule out
 */
class CommandPlanner(
    private val killIntervalMs: Long,
    private val fencingToken: () -> Long,
    private val mayStart: () -> Boolean,
    private val attemptDirectory: AttemptDirectory,
    private val cancelledTasks: CancelledTasks,
    private val requireHigherFencingToken: () -> Unit,
    private val nowMs: () -> Long,
) {
    private val killSentAtMs = HashMap<Attempt, Long>()

    /** A kill command for the attempt leaves. */
    fun recordKill(
        attempt: Attempt,
        nowMs: Long,
    ) {
        killSentAtMs[attempt] = nowMs
    }

    /** The attempt is not on its machine any more. */
    fun forgetKill(attempt: Attempt) {
        killSentAtMs.remove(attempt)
    }

    /**
     * Returns the next request to the machine, or null if there is nothing to command and nothing to ask.
     *
     * Ends attempts that are to be stopped and were never sent, and passes cancellations that other controllers have reported on to
     * the attempts. If the commands are more than one request holds, another request is marked as needed.
     */
    fun plan(machine: Machine): CommandBatch? {
        val draft = Draft(machine, nowMs())
        val token = fencingToken()
        for (attempt in machine.attempts.toList()) planAttempt(draft, attempt)
        for (task in machine.tasks) {
            if (attemptDirectory.isLedHere(task.jobId) && !isCurrent(task, machine)) planFormerAttempt(draft, task)
        }
        if (draft.commands.isEmpty() && !draft.needsStatus) return null
        if (draft.commands.size > MAX_COMMANDS) return firstPart(draft, token)
        return CommandBatch(token, machine.incarnation, draft.commands, draft.coveredAttempts)
    }

    private fun planAttempt(
        draft: Draft,
        attempt: Attempt,
    ) {
        if (!attempt.maySend || attempt.job.shard.state != ShardState.ACTIVE) return
        if (attempt.incarnation != draft.machine.incarnation) return
        // The job was cancelled by another leader of its shard, to which this controller has confirmed the cancellation.
        val isCancelledElsewhere =
            attempt.stop == null && cancelledTasks.has(draft.machine.name, AttemptId.of(attempt))
        if (isCancelledElsewhere) attempt.stop(StopReason.CANCELLED, draft.nowMs)
        val stopReason = attempt.stop
        when {
            stopReason != null -> planStop(draft, attempt, stopReason)
            attempt.state == AttemptState.RECORDED -> planStart(draft, attempt)
            attempt.state == AttemptState.DISPATCHED && draft.listed(
                attempt,
            ) == null -> planRepeatedStart(draft, attempt)
            else -> planConfirmation(draft, attempt)
        }
    }

    private fun planStop(
        draft: Draft,
        attempt: Attempt,
        reason: StopReason,
    ) {
        if (attempt.state == AttemptState.RECORDED) {
            attemptDirectory.terminate(attempt, AttemptTermination(TerminationEvidence.NEVER_SENT, reason.name))
            return
        }
        draft.coveredAttempts.add(attempt)
        if (draft.listed(attempt)?.isEnded == true) {
            draft.needsStatus = true
            return
        }
        val killedAt = killSentAtMs[attempt]
        val isKillDue = killedAt == null || draft.nowMs - killedAt >= killIntervalMs
        if (isKillDue) draft.addKill(AttemptId.of(attempt), gracePeriodS(attempt, reason))
    }

    private fun planStart(
        draft: Draft,
        attempt: Attempt,
    ) {
        if (!mayStart()) return
        // An attempt that was never sent needs no reconciliation: no former leader of the shard can have sent it.
        val isReconciled = draft.isReconciled(attempt) || attempt.sentAt == null
        if (!isReconciled) {
            draft.needsStatus = true
            return
        }
        draft.addRun(attempt)
        draft.coveredAttempts.add(attempt)
    }

    /** The attempt was sent, or may have been by a former leader, and the machine does not list it. */
    private fun planRepeatedStart(
        draft: Draft,
        attempt: Attempt,
    ) {
        draft.coveredAttempts.add(attempt)
        // After a failover it is not known whether the run command ever left, so the machine is asked before anything else.
        val isSentBefore = attempt.sentAt != null
        if (!isSentBefore || attemptDirectory.isSuspended(attempt.job.jobId)) {
            draft.needsStatus = true
        } else if (mayStart()) {
            draft.addRun(attempt)
        }
    }

    private fun planConfirmation(
        draft: Draft,
        attempt: Attempt,
    ) {
        draft.coveredAttempts.add(attempt)
        if (!draft.isReconciled(attempt)) draft.needsStatus = true
    }

    /** Whether the listed task is the current attempt, on the machine that it belongs to. */
    private fun isCurrent(
        task: ListedTask,
        machine: Machine,
    ): Boolean {
        val attempt = attemptDirectory.attempt(task.jobId, task.taskIndex) ?: return false
        return attempt.number == task.attempt && attempt.machine === machine
    }

    /** The machine lists an attempt that has been given up: it is to be stopped, and its entry to be cleared. */
    private fun planFormerAttempt(
        draft: Draft,
        task: ListedTask,
    ) {
        val id = AttemptId.of(task)
        val channel = draft.machine.channel
        when {
            !task.isEnded -> draft.addKill(id, gracePeriodS = 0.0)
            // After a clear the worker has forgotten the attempt; a run command that arrived later would start the task again.
            channel.mayRunArriveLate(id) -> requireHigherFencingToken()
            channel.confirmedToken >= FIRST_TOKEN -> draft.addClear(id)
            else -> draft.needsStatus = true
        }
    }

    /** Time to save a checkpoint, where there is something to be saved; a save that is under way is never cut short by accident. */
    private fun gracePeriodS(
        attempt: Attempt,
        reason: StopReason,
    ): Double =
        when (reason) {
            StopReason.CANCELLED, StopReason.STRAY -> 0.0
            StopReason.GANG_ENDED -> if (attempt.state == AttemptState.SAVING) saveS(attempt) else 0.0
            StopReason.DRAIN, StopReason.PREEMPTED -> saveS(attempt)
        }

    private fun saveS(attempt: Attempt) = attempt.job.spec?.saveS ?: 0.0

    /** As many commands as one request holds. The response says nothing of an attempt whose first run command is not among them. */
    private fun firstPart(
        draft: Draft,
        token: Long,
    ): CommandBatch {
        val commands = draft.commands.take(MAX_COMMANDS)
        draft.machine.channel.isSyncRequested = true
        val coveredAttempts =
            draft.coveredAttempts.filter { attempt ->
                attempt.state != AttemptState.RECORDED || commands.any { it.isRunOf(attempt) }
            }
        return CommandBatch(token, draft.machine.incarnation, commands, coveredAttempts)
    }

    private fun Command.isRunOf(attempt: Attempt) =
        type == CommandType.RUN && AttemptId.of(this) == AttemptId.of(attempt)

    /** The request as far as it has been decided. */
    private class Draft(
        val machine: Machine,
        val nowMs: Long,
    ) {
        val commands = ArrayList<Command>()
        val coveredAttempts = ArrayList<Attempt>()

        /** Whether the request is sent even if it has no commands. */
        var needsStatus = machine.channel.needsStatus

        private val listedTasks = machine.tasks.associateBy { AttemptId.of(it) }

        /** The attempt as the machine listed it last; null if it did not. */
        fun listed(attempt: Attempt): ListedTask? = listedTasks[AttemptId.of(attempt)]

        /** Whether the machine has accepted a request since this controller began to lead the attempt's shard. */
        fun isReconciled(attempt: Attempt) = machine.channel.confirmedToken >= attempt.job.shard.leader.fencingToken

        fun addRun(attempt: Attempt) {
            commands.add(Command(CommandType.RUN, attempt.job.jobId, attempt.taskIndex, attempt.number))
        }

        fun addKill(
            id: AttemptId,
            gracePeriodS: Double,
        ) {
            commands.add(Command(CommandType.KILL, id.jobId, id.taskIndex, id.attempt, gracePeriodS))
        }

        fun addClear(id: AttemptId) {
            commands.add(Command(CommandType.CLEAR, id.jobId, id.taskIndex, id.attempt))
        }
    }

    private companion object {
        const val MAX_COMMANDS = 200

        /** The lowest fencing token; a machine with none confirmed has not responded to this controller yet. */
        const val FIRST_TOKEN = 1L
    }
}
