package micatally.worker

import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.AttemptTermination
import micatally.job.TerminationEvidence
import micatally.membership.Membership
import micatally.wire.Heartbeat
import micatally.wire.ListedTask

/**
 * Processes a machine's response to a command request: terminates the attempts that the response proves to have ended,
 * and decides whether another request is needed. Used from the event loop only.
 *
 * @param tokenDemand told when an attempt can be proven to have ended only with a higher fencing token
 * @param requestSync starts another request to the machine
 */
class CommandResponseHandler(
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val attemptDirectory: AttemptDirectory,
    private val planner: CommandPlanner,
    private val tokenDemand: FencingTokenDemand,
    private val endedAttempts: EndedAttemptAudit,
    private val requestSync: (Machine) -> Unit,
) {
    /** Handles a rejection: the machine knows a higher fencing token or has another incarnation. */
    fun rejected(
        machine: Machine,
        batch: CommandBatch,
        heartbeat: Heartbeat,
    ) {
        machines.apply(heartbeat, StatusSource.COMMAND_RESPONSE)
        if (heartbeat.incarnation != batch.incarnation) return
        val channel = machine.channel
        channel.needsStatus = true
        if (heartbeat.token > batch.fencingToken) {
            channel.isSyncRequested = false
            membership.catchUp(channel.retryCallback { requestSync(machine) })
        } else {
            channel.isSyncRequested = true
        }
    }

    /** Handles the response to a request that the machine has carried out. */
    fun accepted(
        machine: Machine,
        batch: CommandBatch,
        heartbeat: Heartbeat,
    ) {
        val channel = machine.channel
        channel.confirmToken(batch.fencingToken)
        endedAttempts.carriedOut(machine, batch)
        machines.apply(heartbeat, StatusSource.COMMAND_RESPONSE)
        val listedTasks = heartbeat.tasks.associateBy { AttemptId.of(it) }
        for (attempt in batch.coveredAttempts) {
            val isConclusive =
                attempt.isLive && attempt.state >= AttemptState.DISPATCHED && attempt.incarnation == batch.incarnation
            if (!isConclusive) continue
            val task = listedTasks[AttemptId.of(attempt)]
            if (task == null) {
                notListed(attempt, batch.fencingToken)
            } else if (task.isEnded) {
                listedAsEnded(attempt, task)
            }
        }
        val hasEndedTasks = machine.tasks.any { it.isEnded && attemptDirectory.isLedHere(it.jobId) }
        if (hasEndedTasks) channel.isSyncRequested = true
        if (channel.isSyncRequested && planner.plan(machine) == null) channel.isSyncRequested = false
    }

    /**
     * Handles an attempt that the response does not list. The request was sent after the attempt was recorded, so the
     * list is newer than the attempt and proves that the attempt is not on the machine.
     *
     * It proves nothing while a run command of the attempt may still arrive; see [SentRuns].
     */
    private fun notListed(
        attempt: Attempt,
        requestToken: Long,
    ) {
        val channel = attempt.machine.channel
        if (channel.mayRunArriveAfter(AttemptId.of(attempt), requestToken)) {
            tokenDemand.require(RaiseReason.PROOF, requestToken)
            channel.needsStatus = true
            return
        }
        planner.forgetKill(attempt)
        attemptDirectory.terminate(
            attempt,
            AttemptTermination(TerminationEvidence.DIRECT_RESPONSE, "not on the machine"),
        )
    }

    private fun listedAsEnded(
        attempt: Attempt,
        task: ListedTask,
    ) {
        planner.forgetKill(attempt)
        val evidence = if (task.isDone) TerminationEvidence.COMPLETED else TerminationEvidence.DIRECT_RESPONSE
        attemptDirectory.terminate(
            attempt,
            AttemptTermination(evidence, task.exitReasonText ?: "", task.exitReason, task.isSaved),
        )
        attempt.machine.channel.isSyncRequested = true
    }
}
