package micatally.worker

import kotlinx.coroutines.CoroutineName
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
 * Sends commands to the machines until each runs the tasks that this controller wants on it. [CommandPlanner] decides
 * what to send, and [CommandResponseHandler] processes the responses.
 *
 * At most one request to a machine is under way, and [CommandGate] limits the number of requests to all machines. A
 * request without a usable response is retried after a backoff that grows with the number of failures in a row. Used
 * from the event loop only.
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

    /** The fencing token that this controller needs so that run commands sent before can't start a task any more. */
    val tokenDemand = FencingTokenDemand()

    /** Counts attempts that go on although their end was taken as proven. */
    val endedAttempts = EndedAttemptAudit()

    private val planner =
        CommandPlanner(
            settings.heartbeatIntervalMs,
            { membership.sharedKeys.fencingToken },
            { membership.mayStart },
            attemptDirectory,
            cancelledTasks,
            tokenDemand,
            nowMs,
        )
    private val responseHandler =
        CommandResponseHandler(
            membership,
            machines,
            attemptDirectory,
            planner,
            tokenDemand,
            endedAttempts,
            ::requestSync,
        )

    /**
     * Starts sending the machine what it needs to run the tasks that this controller wants on it. Returns at once.
     * Calls while a request is under way share the next request.
     */
    fun requestSync(machine: Machine) {
        val channel = machine.channel
        channel.isSyncRequested = true
        if (channel.isSyncing && gate.waitingCount > 0) gate.promote(machine.name, urgencyOf(machine))
        if (channel.isSyncing || machine.deleted) return
        channel.isSyncing = true
        scope.launch(CoroutineName("commands")) {
            try {
                sync(machine)
            } finally {
                channel.isSyncing = false
            }
        }
    }

    /** Like [requestSync], and sends a request also if no command is needed, for the task list in the response. */
    fun requestStatus(machine: Machine) {
        machine.channel.needsStatus = true
        requestSync(machine)
    }

    private suspend fun sync(machine: Machine) {
        val channel = machine.channel
        while (channel.isSyncRequested && !machine.deleted) {
            val isReached = gate.withSlot(machine.name, urgencyOf(machine)) { send(machine) }
            if (isReached) continue
            channel.recordFailure()
            val delayMs = backoffMs(channel.failuresInRow)
            channel.markUnreachableUntil(nowMs() + delayMs + settings.heartbeatIntervalMs)
            logFailure(machine)
            delay(delayMs)
        }
    }

    private fun backoffMs(failuresInRow: Int): Long =
        minOf(
            settings.heartbeatIntervalMs * failuresInRow / BACKOFF_STEPS_PER_HEARTBEAT,
            settings.heartbeatIntervalMs * MAX_BACKOFF_HEARTBEATS,
        )

    private fun logFailure(machine: Machine) {
        val failuresInRow = machine.channel.failuresInRow
        if (failuresInRow == 1 || failuresInRow % FAILURES_PER_LOG_LINE == 0) {
            log.info("machine {} does not respond to commands: {} failures in a row", machine.name, failuresInRow)
        }
    }

    private fun urgencyOf(machine: Machine): CommandUrgency =
        when {
            machine.channel.failuresInRow > 0 -> CommandUrgency.RETRY
            machine.attempts.any { it.stop != null } -> CommandUrgency.STOP
            machine.attempts.any { it.state == AttemptState.RECORDED } -> CommandUrgency.START
            else -> CommandUrgency.QUERY
        }

    /**
     * Sends the next request, if one is needed. It is planned only now, so that it reflects the latest state.
     *
     * Whether this controller still holds its lease is not checked here, because a machine rejects commands that carry
     * a lower fencing token than it knows.
     *
     * @return false if a request was sent and the machine gave no usable response
     */
    private suspend fun send(machine: Machine): Boolean {
        machine.channel.isSyncRequested = false
        if (machine.deleted) return true
        val batch = planner.plan(machine) ?: return true
        markSent(machine, batch.commands)
        machine.channel.needsStatus = false
        val body = commandRequest(batch.fencingToken, batch.incarnation, batch.commands).bytes()
        logSending(machine, batch)
        val outcome = http.call(machine.addr, "POST", COMMANDS_PATH, body, responseTimeoutMs)
        if (outcome !is Outcome.NotSent) recordRuns(machine, batch)
        if (outcome is Outcome.Answer && isUsable(outcome)) {
            handle(outcome, machine, batch)
            return true
        }
        return false
    }

    private fun logSending(
        machine: Machine,
        batch: CommandBatch,
    ) {
        for (command in batch.commands) {
            log.info(
                "{} {} sent to {} session {} token {}",
                command.type.word,
                AttemptId.of(command),
                machine.name,
                batch.incarnation,
                batch.fencingToken,
            )
        }
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

    private fun recordRuns(
        machine: Machine,
        batch: CommandBatch,
    ) {
        for (command in batch.commands) {
            if (command.type != CommandType.RUN) continue
            machine.channel.recordRun(AttemptId.of(command), batch.fencingToken)
        }
    }

    private fun markSent(
        machine: Machine,
        commands: List<Command>,
    ) {
        val now = nowMs()
        for (command in commands) {
            val attempt = attemptDirectory.currentAttempt(AttemptId.of(command), machine.name) ?: continue
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

    private companion object {
        const val COMMANDS_PATH = "/orders"
        const val ACCEPTED = 200
        const val REJECTED = 409

        /** Each failure in a row lengthens the backoff by the heartbeat interval divided by this number. */
        const val BACKOFF_STEPS_PER_HEARTBEAT = 4

        /** The longest backoff, in heartbeat intervals. */
        const val MAX_BACKOFF_HEARTBEATS = 2
        const val FAILURES_PER_LOG_LINE = 10
    }
}
