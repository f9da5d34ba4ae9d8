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
 * Decides what to send to a machine so that it runs the tasks that this controller wants on it. Sends nothing itself.
 *
 * Each plan is made from the current attempts and the machine's last task list. Lost requests and responses therefore
 * need no bookkeeping: the next request again contains every command that is still needed. Used from the event loop
 * only.
 *
 * @param killIntervalMs minimum time between two kill commands for the same attempt, in milliseconds
 * @param fencingToken the highest fencing token that this controller knows
 * @param mayStart whether this controller may start tasks at present
 * @param tokenDemand told when the entry of an ended task can be cleared only with a higher fencing token
 */
class CommandPlanner(
    private val killIntervalMs: Long,
    private val fencingToken: () -> Long,
    private val mayStart: () -> Boolean,
    private val attemptDirectory: AttemptDirectory,
    private val cancelledTasks: CancelledTasks,
    private val tokenDemand: FencingTokenDemand,
    private val nowMs: () -> Long,
) {
    private val killSentAtMs = HashMap<Attempt, Long>()

    /** Records that a kill command for the attempt is being sent. */
    fun recordKill(
        attempt: Attempt,
        nowMs: Long,
    ) {
        killSentAtMs[attempt] = nowMs
    }

    /** Drops the record of kill commands for an attempt that has ended on its machine. */
    fun forgetKill(attempt: Attempt) {
        killSentAtMs.remove(attempt)
    }

    /**
     * Returns the next request to the machine; null if there are no commands and the machine's task list is not needed.
     *
     * Also terminates attempts that are to be stopped and were never sent, and stops attempts whose cancellation
     * another controller has reported. If the commands do not fit in one request, another one is marked as needed.
     */
    fun plan(machine: Machine): CommandBatch? {
        val token = fencingToken()
        val draft = Draft(machine, token, nowMs())
        for (attempt in machine.attempts.toList()) planAttempt(draft, attempt)
        for (task in machine.tasks) {
            if (!attemptDirectory.isLedHere(task.jobId)) continue
            val current = attemptDirectory.currentAttempt(AttemptId.of(task), machine.name)
            if (current == null) planFormerAttempt(draft, task)
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
        // Another leader of the shard cancelled the job, and this controller has confirmed the cancellation to it.
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
        // No reconciliation is needed if the attempt was never sent: no former leader of the shard can have sent it.
        val isReconciled = draft.isReconciled(attempt) || attempt.sentAt == null
        if (!isReconciled) {
            draft.needsStatus = true
            return
        }
        draft.addRun(attempt)
        draft.coveredAttempts.add(attempt)
    }

    /**
     * Plans for an attempt that this controller or a former leader may have sent and that the machine does not list.
     */
    private fun planRepeatedStart(
        draft: Draft,
        attempt: Attempt,
    ) {
        draft.coveredAttempts.add(attempt)
        // After a failover it is not known whether a run command was sent, so the machine's task list is requested
        // first.
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

    /**
     * Plans for a listed attempt that is no longer current: it is killed, and once it has ended its entry is cleared.
     */
    private fun planFormerAttempt(
        draft: Draft,
        task: ListedTask,
    ) {
        val id = AttemptId.of(task)
        val channel = draft.machine.channel
        when {
            !task.isEnded -> draft.addKill(id, gracePeriodS = 0.0)
            channel.mayRunArriveAfter(id, draft.token) -> tokenDemand.require(clearReason(draft.machine), draft.token)
            channel.confirmedToken >= LOWEST_TOKEN -> draft.addClear(id)
            else -> draft.needsStatus = true
        }
    }

    private fun clearReason(machine: Machine) = if (machine.isListFull) RaiseReason.FULL_LIST else RaiseReason.ENTRIES

    /**
     * The time that the task gets to save a checkpoint, in seconds; 0 if the checkpoint is not needed. The task of an
     * ended gang gets time only if it is already saving, so that a save under way is not interrupted.
     */
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

    /**
     * Returns a request with the first [MAX_COMMANDS] commands and marks another request as needed. The request does
     * not cover attempts whose first run command is not in it, because its response proves nothing about them.
     */
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

    /** The request that is being planned. */
    private class Draft(
        val machine: Machine,
        val token: Long,
        val nowMs: Long,
    ) {
        val commands = ArrayList<Command>()
        val coveredAttempts = ArrayList<Attempt>()

        /** Whether the request is sent even without commands, for the machine's task list in the response. */
        var needsStatus = machine.channel.needsStatus

        private val listedTasks = machine.tasks.associateBy { AttemptId.of(it) }

        /** The attempt's entry in the machine's last task list; null if it has none. */
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
        /** The most commands in one request. */
        const val MAX_COMMANDS = 200

        /** The lowest fencing token. A confirmed token below it means that the machine has accepted no request yet. */
        const val LOWEST_TOKEN = 1L
    }
}
