package micatally.ownership

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import micatally.membership.SharedKeyCache
import micatally.settings.Settings
import micatally.state.Urgency
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/** Asks the other controllers which of these attempts they want; see [micatally.peer.OwnershipExchange]. */
fun interface OwnershipQuestions {
    /** Returns the host of the controller that has claimed the attempt, by attempt. */
    suspend fun ownersOf(attempts: List<ListedAttempt>): Map<ListedAttempt, String>
}

/**
 * Makes sure that every task on a machine has an owner, whoever leads its job and whichever controllers have restarted.
 *
 * The leaders of the jobs are asked about each attempt that a machine lists here for a heartbeat interval. What none of
 * them claims is decided by the job's record, since a leader may not know its jobs yet, or may not know that it has been
 * deposed. So a task that no record wants is stopped within about four heartbeat intervals while the state store
 * answers. The reads use a small part of this controller's share of the state store's requests, tasks that have not
 * ended first. An outcome is remembered as long as the machine lists the attempt.
 */
class OwnershipReview(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val sharedKeys: SharedKeyCache,
    private val tasks: UnownedTasks,
    private val questions: OwnershipQuestions,
    private val records: RecordCheck,
) {
    private var isRunning = false

    /** The most records that one review reads. */
    private val maxReads =
        (settings.stateLimits.rps / settings.controllers * READ_SHARE * reviewSeconds()).toInt().coerceAtLeast(1)

    private fun reviewSeconds() = settings.heartbeatIntervalMs * INTERVAL_HEARTBEATS / MILLIS_PER_SECOND

    /** Starts a review, unless the last one still runs. To be called every [INTERVAL_HEARTBEATS] heartbeat intervals. */
    fun run(nowMs: Long) {
        updateLists(nowMs)
        if (isRunning) return
        val open = openQuestions(nowMs)
        if (open.isEmpty()) return
        isRunning = true
        scope.launch(CoroutineName("ownership review")) {
            try {
                answer(open, nowMs)
            } finally {
                isRunning = false
            }
        }
    }

    private fun updateLists(nowMs: Long) {
        val reporting = machines.byName.values.filter { reportsHere(it, nowMs) }
        for (machine in reporting) tasks.update(machine)
        val names = reporting.mapTo(HashSet()) { it.name }
        tasks.retainMachines { it in names }
    }

    private fun reportsHere(
        machine: Machine,
        nowMs: Long,
    ) = !machine.deleted && machine.heardHereAt > 0 &&
        nowMs - machine.heardHereAt <= settings.heartbeatIntervalMs * REPORTING_HEARTBEATS

    /** The attempts about which to ask now, the most urgent first. */
    private fun openQuestions(nowMs: Long): List<ListedAttempt> {
        val liveProcesses = sharedKeys.liveProcesses()
        return tasks.attempts
            .filter { isOpen(it, nowMs, liveProcesses) && nowMs - it.firstSeenMs >= graceMs(it) }
            .sortedWith(compareBy({ it.isEnded }, { it.firstSeenMs }))
            .take(MAX_QUESTIONS)
    }

    private fun isOpen(
        attempt: ListedAttempt,
        nowMs: Long,
        liveProcesses: Set<String>,
    ): Boolean =
        when (val ownership = attempt.ownership) {
            is Ownership.Unknown -> true
            is Ownership.Unwanted -> false
            is Ownership.Owned -> {
                val isOwnerGone = ownership.process != null && ownership.process !in liveProcesses
                isOwnerGone || nowMs >= ownership.untilMs
            }
        }

    /** The leader of a job clears the entries of its ended tasks itself, when the fencing token has been raised. */
    private fun graceMs(attempt: ListedAttempt) =
        if (attempt.isEnded) settings.leaseMs * ENDED_GRACE_LEASES else settings.heartbeatIntervalMs

    private suspend fun answer(
        open: List<ListedAttempt>,
        nowMs: Long,
    ) {
        val ownedUntilMs = nowMs + settings.leaseMs * OWNED_LEASES
        val owners = questions.ownersOf(open)
        for ((attempt, host) in owners) {
            attempt.ownership = Ownership.Owned(sharedKeys.liveProcess(host), ownedUntilMs)
        }
        val unclaimed = open.filter { it !in owners }.groupBy { it.id.jobId }
        for ((jobId, attempts) in unclaimed.entries.take(maxReads)) {
            val urgency = if (attempts.all { it.isEnded }) Urgency.SUMMARY else Urgency.INTENT
            val verdicts = records.check(jobId, attempts, urgency) ?: continue
            for ((attempt, verdict) in verdicts) apply(attempt, verdict, ownedUntilMs)
        }
    }

    private fun apply(
        attempt: ListedAttempt,
        verdict: RecordVerdict,
        ownedUntilMs: Long,
    ) = when (verdict) {
        is RecordVerdict.Owned -> attempt.ownership = Ownership.Owned(process = null, ownedUntilMs)
        is RecordVerdict.Unwanted -> tasks.markUnwanted(attempt, verdict.reason)
    }

    /** How often a review is due. */
    companion object {
        /** The interval of the reviews, in heartbeat intervals. */
        const val INTERVAL_HEARTBEATS = 2

        private const val MILLIS_PER_SECOND = 1000.0

        /** A machine reports here if its last heartbeat was accepted here at most this many heartbeat intervals ago. */
        private const val REPORTING_HEARTBEATS = 2

        private const val MAX_QUESTIONS = 1000

        /** The part of this controller's requests to the state store that the reads may use. */
        private const val READ_SHARE = 0.05

        /** An entry of an ended task waits this long for its job's leader, in leases: twice the longest wait for a token. */
        private const val ENDED_GRACE_LEASES = 6

        /** For how many leases the answer of a leader or a record holds. */
        private const val OWNED_LEASES = 4
    }
}
