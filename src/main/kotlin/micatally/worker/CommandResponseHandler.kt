package micatally.worker

import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.AttemptTermination
import micatally.job.TerminationEvidence
import micatally.membership.Membership
import micatally.wire.Heartbeat
import micatally.wire.ListedTask

/**
 * Draws the conclusions from a machine's response to a command request: which attempts are gone, and whether another request is
 * needed. Used from the event loop only.
 *
 * @param requireHigherFencingToken called when a run command may still arrive that only a higher fencing token can rule out
 * @param requestSync asks for another request to the machine
 */
class CommandResponseHandler(
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val attemptDirectory: AttemptDirectory,
    private val planner: CommandPlanner,
    private val requireHigherFencingToken: () -> Unit,
    private val requestSync: (Machine) -> Unit,
) {
    /** The machine rejected the request because it knows a higher fencing token or has another incarnation. */
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
            membership.catchUp(channel.retry { requestSync(machine) })
        } else {
            channel.isSyncRequested = true
        }
    }

    /** The machine carried out the request. */
    fun accepted(
        machine: Machine,
        batch: CommandBatch,
        heartbeat: Heartbeat,
    ) {
        val channel = machine.channel
        channel.confirmToken(batch.fencingToken)
        machines.apply(heartbeat, StatusSource.COMMAND_RESPONSE)
        val listedTasks = heartbeat.tasks.associateBy { AttemptId.of(it) }
        for (attempt in batch.coveredAttempts) {
            val isConclusive =
                attempt.isLive && attempt.state >= AttemptState.DISPATCHED && attempt.incarnation == batch.incarnation
            if (!isConclusive) continue
            val task = listedTasks[AttemptId.of(attempt)]
            if (task == null) {
                notListed(attempt)
            } else if (task.isEnded) {
                listedAsEnded(attempt, task)
            }
        }
        val hasEntriesToClear = machine.tasks.any { it.isEnded && attemptDirectory.isLedHere(it.jobId) }
        if (hasEntriesToClear) channel.isSyncRequested = true
        if (channel.isSyncRequested && planner.plan(machine) == null) channel.isSyncRequested = false
    }

    /**
     * The request left after the attempt was recorded, so a list without the attempt is newer than the attempt and proves it gone. Unless
     * the response to a run command was lost: that command may still arrive until the machine has accepted a higher fencing token.
     */
    private fun notListed(attempt: Attempt) {
        val channel = attempt.machine.channel
        if (channel.hasUnansweredRun(AttemptId.of(attempt))) {
            requireHigherFencingToken()
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
