package micatally.worker

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.AttemptTermination
import micatally.job.ShardState
import micatally.job.StopReason
import micatally.job.TerminationEvidence
import micatally.membership.Membership
import micatally.settings.Settings
import micatally.wire.Command
import micatally.wire.CommandType
import micatally.wire.Heartbeat
import micatally.wire.bytes
import micatally.wire.commandRequest
import micatally.wire.parseObject
import org.slf4j.LoggerFactory

/** What the order channel needs to know of the jobs of this node. */
interface AttemptDirectory {
    /** The job's live attempt at this task, or null; [isLedHere] tells whether the job is in an active shard of this node. */
    fun isLedHere(jobId: String): Boolean

    fun attempt(
        jobId: String,
        taskIndex: Int,
    ): Attempt?

    /** Whether nothing of the job may be started now, not even again, since its team's limit was lowered. */
    fun isSuspended(jobId: String): Boolean

    fun terminate(
        attempt: Attempt,
        termination: AttemptTermination,
    )
}

/** Brings each machine to what this node wants of it. What to send is worked out anew from the attempts each time,
 * one request a machine at a time, so repeating is the normal case and nothing is lost with an answer. */
class CommandDispatcher(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val settings: Settings,
    private val membership: Membership,
    private val machines: MachineRegistry,
    private val attemptDirectory: AttemptDirectory,
    private val cancelledTasks: CancelledTasks,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.worker")
    private val answerMs = settings.leaseMs * 4 / 10
    private val killEveryMs = settings.heartbeatIntervalMs
    private val killedAt = HashMap<Attempt, Long>()
    private val gate = CommandGate(settings.maxConcurrentCommands)

    /** Set when a run may still be under way that only a higher token can stop. */
    var needsHigherFencingToken = false

    fun requestSync(m: Machine) {
        m.isSyncRequested = true
        if (m.isSyncing && gate.waitingCount > 0) gate.promote(m.name, urgencyOf(m))
        if (m.isSyncing || m.deleted) return
        m.isSyncing = true
        scope.launch {
            try {
                sync(m)
            } finally {
                m.isSyncing = false
            }
        }
    }

    private class Batch(
        val token: Long,
        val commands: List<Command>,
        val covered: List<Attempt>,
    )

    private fun build(m: Machine): Batch? {
        val now = nowMs()
        val token = membership.sharedKeys.fencingToken
        val commands = ArrayList<Command>()
        var ask = m.needsStatus
        val covered = ArrayList<Attempt>()
        val listed = m.tasks.associateBy { AttemptId(it.jobId, it.taskIndex, it.attempt) }
        for (a in m.attempts.toList()) {
            if (!a.maySend || a.job.shard.state != ShardState.ACTIVE) continue
            if (a.incarnation != m.incarnation) continue
            val id = AttemptId(a.job.jobId, a.taskIndex, a.number)
            val entry = listed[id]
            // Another node holds the shard by now, and this one has confirmed the cancellation to it.
            if (a.stop == null && cancelledTasks.has(m.name, id)) a.stop(StopReason.CANCELLED, now)
            val reconciled = m.confirmedToken >= a.job.shard.leader.fencingToken
            val stop = a.stop
            if (stop != null) {
                if (a.state ==
                    AttemptState.RECORDED
                ) {
                    attemptDirectory.terminate(a, AttemptTermination(TerminationEvidence.NEVER_SENT, stop.name))
                    continue
                }
                covered.add(a)
                if (entry?.ended == true) {
                    ask = true
                    continue
                }
                val last = killedAt[a]
                if (last == null ||
                    now - last >= killEveryMs
                ) {
                    commands.add(Command(CommandType.KILL, a.job.jobId, a.taskIndex, a.number, graceS(a, stop)))
                }
            } else if (a.state == AttemptState.RECORDED) {
                if (!membership.mayStart) continue
                if (!reconciledOrOwn(a, reconciled)) {
                    ask = true
                    continue
                }
                commands.add(Command(CommandType.RUN, a.job.jobId, a.taskIndex, a.number))
                covered.add(a)
            } else if (a.state == AttemptState.DISPATCHED && entry == null) {
                covered.add(a)
                // Taken over: whether it ever left is not known, so the machine is asked before anything else.
                if (a.sentAt == null || attemptDirectory.isSuspended(a.job.jobId)) {
                    ask = true
                } else if (membership.mayStart) {
                    commands.add(Command(CommandType.RUN, a.job.jobId, a.taskIndex, a.number))
                }
            } else {
                covered.add(a)
                if (!reconciled) ask = true
            }
        }
        for (t in m.tasks) {
            if (!attemptDirectory.isLedHere(t.jobId)) continue
            val a = attemptDirectory.attempt(t.jobId, t.taskIndex)
            if (a != null && a.number == t.attempt && a.machine === m) continue
            if (!t.ended) {
                commands.add(Command(CommandType.KILL, t.jobId, t.taskIndex, t.attempt, 0.0))
                continue
            }
            // A clear makes the worker forget, and a copy of the run that comes after it would start the task again.
            val unansweredRuns = m.unansweredRuns[AttemptId(t.jobId, t.taskIndex, t.attempt)]
            if (unansweredRuns == null || unansweredRuns < m.confirmedToken) {
                if (m.confirmedToken >=
                    1
                ) {
                    commands.add(Command(CommandType.CLEAR, t.jobId, t.taskIndex, t.attempt))
                } else {
                    ask = true
                }
            } else {
                needsHigherFencingToken = true
            }
        }
        if (commands.isEmpty() && !ask) return null
        if (commands.size > MAX_COMMANDS) {
            val sent = commands.take(MAX_COMMANDS)
            m.isSyncRequested = true
            return Batch(
                token,
                sent,
                covered.filter { a ->
                    a.state != AttemptState.RECORDED ||
                        sent.any {
                            it.type == CommandType.RUN && it.jobId == a.job.jobId && it.taskIndex == a.taskIndex &&
                                it.attempt == a.number
                        }
                },
            )
        }
        return Batch(token, commands, covered)
    }

    /** An attempt made by this process needs no reconciling: no earlier holder can have sent it. */
    private fun reconciledOrOwn(
        a: Attempt,
        reconciled: Boolean,
    ) = reconciled || a.sentAt == null

    /** A gang's task that was replaced has the same number on two machines. */
    private fun attemptOf(
        m: Machine,
        c: Command,
    ) = attemptDirectory.attempt(c.jobId, c.taskIndex)?.takeIf {
        it.number == c.attempt &&
            it.machine === m
    }

    /** Time to save, where there is something to be saved; a save that is under way is never cut short by accident. */
    private fun graceS(
        attempt: Attempt,
        reason: StopReason,
    ): Double =
        when (reason) {
            StopReason.CANCELLED, StopReason.STRAY -> 0.0
            StopReason.GANG_ENDED -> if (attempt.state == AttemptState.SAVING) saveS(attempt) else 0.0
            StopReason.DRAIN, StopReason.PREEMPTED -> saveS(attempt)
        }

    private fun saveS(attempt: Attempt) = attempt.job.spec?.saveS ?: 0.0

    private suspend fun sync(m: Machine) {
        while (m.isSyncRequested && !m.deleted) {
            val isReached = gate.withSlot(m.name, urgencyOf(m)) { send(m) }
            if (isReached) continue
            m.needsStatus = true
            m.isSyncRequested = true
            m.failuresInRow++
            val pause = minOf(settings.heartbeatIntervalMs * m.failuresInRow / 4, settings.heartbeatIntervalMs * 2)
            m.unreachableUntil = nowMs() + pause + settings.heartbeatIntervalMs
            if (m.failuresInRow == 1 || m.failuresInRow % 10 == 0) {
                log.info("no answer from {}: {} in a row", m.name, m.failuresInRow)
            }
            delay(pause)
        }
    }

    private fun urgencyOf(m: Machine): CommandUrgency =
        when {
            m.failuresInRow > 0 -> CommandUrgency.REPEAT
            m.attempts.any { it.stop != null } -> CommandUrgency.STOP
            m.attempts.any { it.state == AttemptState.RECORDED } -> CommandUrgency.START
            else -> CommandUrgency.ASK
        }

    /** What is wanted is worked out when the request leaves. False if the machine gave no usable answer. */
    private suspend fun send(m: Machine): Boolean {
        m.isSyncRequested = false
        if (m.deleted) return true
        // Without the lease a node can't tell whether its shards are still its own; the token guards, this saves work.
        val b = build(m) ?: return true
        val incarnation = m.incarnation
        markSent(m, b.commands)
        m.needsStatus = false
        val out =
            http.call(
                m.addr,
                "POST",
                "/orders",
                commandRequest(b.token, incarnation, b.commands).bytes(),
                answerMs,
            )
        if (out is Outcome.Answer && (out.status == 200 || out.status == 409)) {
            m.failuresInRow = 0
            m.unreachableUntil = 0
            answered(m, b, out.status, incarnation, Heartbeat.parse(parseObject(out.body)))
            return true
        }
        if (out is Outcome.Silence || out is Outcome.TooLarge) {
            for (c in b.commands.filter { it.type == CommandType.RUN }) {
                m.unansweredRuns[AttemptId(c.jobId, c.taskIndex, c.attempt)] = b.token
            }
        }
        return false
    }

    private fun markSent(
        m: Machine,
        commands: List<Command>,
    ) {
        val now = nowMs()
        for (c in commands) {
            val attempt = attemptOf(m, c) ?: continue
            when (c.type) {
                CommandType.RUN -> {
                    attempt.sentAt = now
                    attempt.transitionTo(AttemptState.DISPATCHED, now)
                }
                CommandType.KILL -> killedAt[attempt] = now
                CommandType.CLEAR -> {}
            }
        }
    }

    private fun answered(
        m: Machine,
        b: Batch,
        status: Int,
        incarnation: Long,
        r: Heartbeat,
    ) {
        if (status == 409) {
            machines.apply(r, true)
            if (r.incarnation == incarnation) {
                m.needsStatus = true
                if (r.token > b.token) {
                    m.isSyncRequested = false
                    membership.catchUp(m.retry { requestSync(m) })
                } else {
                    m.isSyncRequested = true
                }
            }
            return
        }
        m.confirmedToken = maxOf(m.confirmedToken, b.token)
        m.unansweredRuns.values.removeIf { it < m.confirmedToken }
        machines.apply(r, true)
        val listed = r.tasks.associateBy { AttemptId(it.jobId, it.taskIndex, it.attempt) }
        for (a in b.covered) {
            if (!a.isLive || a.state < AttemptState.DISPATCHED || a.incarnation != incarnation) continue
            val id = AttemptId(a.job.jobId, a.taskIndex, a.number)
            val e = listed[id]
            // Its place in the list is known from our own request, made after the intent. A run whose answer was lost
            // may still come, though, until the machine has seen a higher token than it carries.
            if (e == null) {
                if (id in
                    m.unansweredRuns
                ) {
                    needsHigherFencingToken = true
                    m.needsStatus = true
                } else {
                    killedAt.remove(a)
                    attemptDirectory.terminate(
                        a,
                        AttemptTermination(TerminationEvidence.DIRECT_RESPONSE, "not on the machine"),
                    )
                }
            } else if (e.ended) {
                killedAt.remove(a)
                attemptDirectory.terminate(
                    a,
                    AttemptTermination(
                        if (e.done) TerminationEvidence.COMPLETED else TerminationEvidence.DIRECT_RESPONSE,
                        e.why ?: "",
                        e.reason,
                        e.saved,
                    ),
                )
                m.isSyncRequested = true
            }
        }
        if (m.tasks.any { it.ended && attemptDirectory.isLedHere(it.jobId) }) m.isSyncRequested = true
        if (m.isSyncRequested && build(m) == null) m.isSyncRequested = false
    }

    private companion object {
        const val MAX_COMMANDS = 200
    }
}
