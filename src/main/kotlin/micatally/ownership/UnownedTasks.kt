package micatally.ownership

import micatally.wire.Command
import micatally.wire.CommandType
import micatally.wire.Heartbeat
import micatally.wire.ListedTask
import micatally.worker.AttemptDirectory
import micatally.worker.AttemptId
import micatally.worker.FencingTokenDemand
import micatally.worker.Machine
import micatally.worker.RaiseReason
import micatally.worker.SentRuns
import org.slf4j.LoggerFactory

/**
 * The attempts in the lists of the machines that report to this controller, except those whose jobs it leads itself, and
 * whether some leader wants them. [OwnershipReview] finds that out; this class has the unwanted ones stopped and their
 * entries cleared by the responses to heartbeats. Used from the event loop only.
 *
 * @param fencingToken the highest fencing token that this controller knows
 */
class UnownedTasks(
    private val attemptDirectory: AttemptDirectory,
    private val tokenDemand: FencingTokenDemand,
    private val fencingToken: () -> Long,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.ownership")
    private val byMachine = HashMap<String, HashMap<AttemptId, ListedAttempt>>()

    /**
     * How many attempts that no leader wants this controller has told a machine to stop, since it started. A heartbeat that
     * was held up may list an attempt that has ended in the meantime, so a few do not mean that a task went on.
     */
    var unwantedCount = 0
        private set

    /** All attempts, in no particular order. */
    val attempts: List<ListedAttempt> get() = byMachine.values.flatMap { it.values }

    /** Takes over the present list of a machine that reports to this controller. */
    fun update(machine: Machine) {
        val former = byMachine.remove(machine.name)
        val present = HashMap<AttemptId, ListedAttempt>()
        for (task in machine.tasks) {
            if (attemptDirectory.isLedHere(task.jobId)) continue
            val id = AttemptId.of(task)
            present[id] = former?.get(id)?.takeIf { it.isContinuedBy(machine, task) } ?: listed(machine, task)
        }
        for ((id, attempt) in former.orEmpty()) if (id !in present) logGone(attempt)
        if (present.isNotEmpty()) byMachine[machine.name] = present
    }

    private fun listed(
        machine: Machine,
        task: ListedTask,
    ) = ListedAttempt(machine, machine.incarnation, AttemptId.of(task), task.isEnded, nowMs())

    /** Forgets the machines for which the condition does not hold, because they report elsewhere now or are gone. */
    fun retainMachines(condition: (name: String) -> Boolean) {
        byMachine.keys.retainAll { condition(it) }
    }

    /** Marks the attempt as one that no leader wants. */
    fun markUnwanted(
        attempt: ListedAttempt,
        reason: UnwantedReason,
    ) {
        if (attempt.ownership is Ownership.Unwanted) return
        val token = fencingToken()
        attempt.ownership = Ownership.Unwanted(reason, token)
        log.info(
            "task {} on {} session {} is wanted by no record: {}, token {}, listed for {} ms, ended {}",
            attempt.id,
            attempt.machine.name,
            attempt.incarnation,
            reason,
            token,
            nowMs() - attempt.firstSeenMs,
            attempt.isEnded,
        )
    }

    private fun logGone(attempt: ListedAttempt) {
        val ownership = attempt.ownership as? Ownership.Unwanted ?: return
        log.info(
            "task {} is gone from {} session {}: it was not wanted, {}, listed for {} ms",
            attempt.id,
            attempt.machine.name,
            attempt.incarnation,
            ownership.reason,
            nowMs() - attempt.firstSeenMs,
        )
    }

    /**
     * The commands for the response to a heartbeat: stops attempts that no leader wants, also those of jobs that are led
     * here, since commands may not reach the machine. Clears entries that no leader clears.
     */
    fun commandsFor(heartbeat: Heartbeat): List<Command> =
        heartbeat.tasks.mapNotNull { command(heartbeat, it) }.take(MAX_COMMANDS)

    private fun command(
        heartbeat: Heartbeat,
        task: ListedTask,
    ): Command? {
        val id = AttemptId.of(task)
        if (attemptDirectory.isLedHere(task.jobId)) {
            val isFormer = attemptDirectory.currentAttempt(id, heartbeat.machine) == null
            return if (isFormer && !task.isEnded) kill(task) else null
        }
        val attempt = byMachine[heartbeat.machine]?.get(id) ?: return null
        val ownership = attempt.ownership as? Ownership.Unwanted ?: return null
        return when {
            attempt.incarnation != heartbeat.incarnation -> null
            !task.isEnded -> killUnwanted(attempt, task)
            ownership.reason.isSettled -> clearIfRuledOut(task, ownership)
            else -> null
        }
    }

    private fun killUnwanted(
        attempt: ListedAttempt,
        task: ListedTask,
    ): Command {
        if (!attempt.isKillSent) unwantedCount++
        attempt.isKillSent = true
        return kill(task)
    }

    private fun kill(task: ListedTask) =
        Command(CommandType.KILL, task.jobId, task.taskIndex, task.attempt, graceS = 0.0)

    /** Start commands of the attempt carry a token up to the one that was known when the record was read. */
    private fun clearIfRuledOut(
        task: ListedTask,
        ownership: Ownership.Unwanted,
    ): Command? {
        if (!SentRuns.isRuledOut(ownership.token, fencingToken())) {
            tokenDemand.require(RaiseReason.ENTRIES, ownership.token)
            return null
        }
        return Command(CommandType.CLEAR, task.jobId, task.taskIndex, task.attempt)
    }

    private companion object {
        /** The most commands in one response. */
        const val MAX_COMMANDS = 200
    }
}
