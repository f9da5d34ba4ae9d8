package micatally.worker

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.job.AttemptState
import micatally.membership.Membership
import micatally.settings.Settings
import micatally.wire.Command
import micatally.wire.CommandType
import micatally.wire.Heartbeat
import micatally.wire.bytes
import micatally.wire.commandRequest
import micatally.wire.parseObject
import org.slf4j.LoggerFactory

/**
 * Sends commands to the machines until each runs what this controller wants it to run. [CommandPlanner] decides what to send,
 * [CommandResponseHandler] what follows from the response.
 *
 * At most one request to a machine is under way, and [CommandGate] bounds the requests to all of them. A machine that gives no usable
 * response is asked again after a pause that grows with the failures in a row. Used from the event loop only.
 */
class CommandDispatcher(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val settings: Settings,
    membership: Membership,
    machines: MachineRegistry,
    private val attemptDirectory: AttemptDirectory,
    cancelledTasks: CancelledTasks,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.worker")
    private val responseTimeoutMs = settings.leaseMs * 4 / 10
    private val gate = CommandGate(settings.maxConcurrentCommands)

    /**
     * Whether a run command may still arrive at its machine that only a higher fencing token can rule out. Reset by whoever raises the
     * token.
     */
    var needsHigherFencingToken = false

    private val planner =
        CommandPlanner(
            settings.heartbeatIntervalMs,
            { membership.sharedKeys.fencingToken },
            { membership.mayStart },
            attemptDirectory,
            cancelledTasks,
            ::requireHigherFencingToken,
            nowMs,
        )
    private val responseHandler =
        CommandResponseHandler(
            membership,
            machines,
            attemptDirectory,
            planner,
            ::requireHigherFencingToken,
            ::requestSync,
        )

    private fun requireHigherFencingToken() {
        needsHigherFencingToken = true
    }

    /** Has the machine brought to what this controller wants of it. Returns at once; repeated calls share the next request. */
    fun requestSync(machine: Machine) {
        val channel = machine.channel
        channel.isSyncRequested = true
        if (channel.isSyncing && gate.waitingCount > 0) gate.promote(machine.name, urgencyOf(machine))
        if (channel.isSyncing || machine.deleted) return
        channel.isSyncing = true
        scope.launch {
            try {
                sync(machine)
            } finally {
                channel.isSyncing = false
            }
        }
    }

    private suspend fun sync(machine: Machine) {
        val channel = machine.channel
        while (channel.isSyncRequested && !machine.deleted) {
            val isReached = gate.withSlot(machine.name, urgencyOf(machine)) { send(machine) }
            if (isReached) continue
            channel.recordFailure()
            val pauseMs = pauseAfter(channel.failuresInRow)
            channel.markUnreachableUntil(nowMs() + pauseMs + settings.heartbeatIntervalMs)
            logFailure(machine)
            delay(pauseMs)
        }
    }

    private fun pauseAfter(failuresInRow: Int): Long =
        minOf(
            settings.heartbeatIntervalMs * failuresInRow / PAUSES_PER_HEARTBEAT,
            settings.heartbeatIntervalMs * LONGEST_PAUSE_HEARTBEATS,
        )

    private fun logFailure(machine: Machine) {
        val failuresInRow = machine.channel.failuresInRow
        if (failuresInRow == 1 || failuresInRow % FAILURES_PER_LOG_LINE == 0) {
            log.info("machine {} does not respond to commands: {} failures in a row", machine.name, failuresInRow)
        }
    }

    private fun urgencyOf(machine: Machine): CommandUrgency =
        when {
            machine.channel.failuresInRow > 0 -> CommandUrgency.REPEAT
            machine.attempts.any { it.stop != null } -> CommandUrgency.STOP
            machine.attempts.any { it.state == AttemptState.RECORDED } -> CommandUrgency.START
            else -> CommandUrgency.ASK
        }

    /**
     * Sends the next request, if there is any. It is decided only now, when the request leaves.
     *
     * Whether this controller still holds its lease is not asked: a machine rejects commands under a former fencing token.
     *
     * @return false if the machine gave no usable response
     */
    private suspend fun send(machine: Machine): Boolean {
        machine.channel.isSyncRequested = false
        if (machine.deleted) return true
        val batch = planner.plan(machine) ?: return true
        markSent(machine, batch.commands)
        machine.channel.needsStatus = false
        val body = commandRequest(batch.fencingToken, batch.incarnation, batch.commands).bytes()
        val outcome = http.call(machine.addr, "POST", COMMANDS_PATH, body, responseTimeoutMs)
        if (outcome is Outcome.Answer && isUsable(outcome)) {
            handle(outcome, machine, batch)
            return true
        }
        val mayHaveArrived = outcome is Outcome.NoResponse || outcome is Outcome.TooLarge
        if (mayHaveArrived) recordUnansweredRuns(machine, batch)
        return false
    }

    private fun isUsable(response: Outcome.Answer) = response.status == ACCEPTED || response.status == REJECTED

    private fun handle(
        response: Outcome.Answer,
        machine: Machine,
        batch: CommandBatch,
    ) {
        machine.channel.recordResponse()
        val heartbeat = Heartbeat.parse(parseObject(response.body))
        if (response.status == REJECTED) {
            responseHandler.rejected(machine, batch, heartbeat)
        } else {
            responseHandler.accepted(machine, batch, heartbeat)
        }
    }

    private fun recordUnansweredRuns(
        machine: Machine,
        batch: CommandBatch,
    ) {
        for (command in batch.commands) {
            if (command.type != CommandType.RUN) continue
            machine.channel.addUnansweredRun(AttemptId.of(command), batch.fencingToken)
        }
    }

    private fun markSent(
        machine: Machine,
        commands: List<Command>,
    ) {
        val now = nowMs()
        for (command in commands) {
            val attempt = attemptOf(command, machine) ?: continue
            when (command.type) {
                CommandType.RUN -> {
                    attempt.sentAt = now
                    attempt.transitionTo(AttemptState.DISPATCHED, now)
                }
                CommandType.KILL -> planner.recordKill(attempt, now)
                CommandType.CLEAR -> {}
            }
        }
    }

    /** The current attempt that the command is for; a replaced task of a gang has the same attempt number on two machines. */
    private fun attemptOf(
        command: Command,
        machine: Machine,
    ) = attemptDirectory
        .attempt(command.jobId, command.taskIndex)
        ?.takeIf { it.number == command.attempt && it.machine === machine }

    private companion object {
        const val COMMANDS_PATH = "/orders"
        const val ACCEPTED = 200
        const val REJECTED = 409

        /** The pause after the first failure is this part of the heartbeat interval, and grows by as much with each further one. */
        const val PAUSES_PER_HEARTBEAT = 4
        const val LONGEST_PAUSE_HEARTBEATS = 2
        const val FAILURES_PER_LOG_LINE = 10
    }
}
