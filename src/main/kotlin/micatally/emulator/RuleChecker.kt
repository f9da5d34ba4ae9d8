package micatally.emulator

import micatally.scheduling.Placement
import micatally.settings.Team
import micatally.wire.Format
import micatally.wire.JobSpec
import micatally.wire.Resources

/** A broken rule. [rule] is its name in reports, such as `ran_twice`. */
class RuleViolation(
    val rule: String,
    description: String,
) : AssertionError("$rule: $description")

/** A task that runs on a machine, and the properties of the machine that a job can ask for. */
data class OnMachine(
    val jobId: String,
    val taskIndex: Int,
    val machine: String,
    val type: String,
    val zone: String,
    val isSpot: Boolean,
)

/**
 * Checks from outside that the controllers keep the rules: by the tasks that start and end on the machines, and by the
 * answers that users get. Each check throws [RuleViolation] if a rule is broken. All times are in milliseconds of one
 * clock.
 *
 * @property cancelMs how long after a confirmed cancellation a task of the job may still run
 */
class RuleChecker(
    /** Returns the team with the limit that is in force now; null if there is no such team. */
    private val teamInForce: (String) -> Team?,
    private val cancelMs: Long,
) {
    constructor(teams: Map<String, Team>, cancelMs: Long) : this({ teams[it] }, cancelMs)

    /** Whether a machine is hung. [check] ignores the tasks on it, since they make no progress meanwhile. */
    var hangs: (String) -> Boolean = { false }

    /** All submitted jobs by id. */
    val specs = HashMap<String, JobSpec>()

    /** The tasks that are on machines now. */
    val running = LinkedHashSet<OnMachine>()

    /** Indexes of the tasks that ended with success, by job. */
    val completed = HashMap<String, HashSet<Int>>()

    private val accepted = HashSet<String>()
    private val cancelRequested = HashSet<String>()

    /** When users were first told that a job was accepted, cancelled or done. */
    private val toldAcceptedAt = HashMap<String, Long>()
    private val toldCancelledAt = HashMap<String, Long>()
    private val toldDoneAt = HashMap<String, Long>()

    /** When a request about the job last got an answer with its status. */
    private val lastAnsweredAt = HashMap<String, Long>()

    /** How many tasks were started. */
    var starts = 0
        private set

    /** Starts after a confirmed cancellation, by a command sent before it. Within [cancelMs] they break no rule. */
    var startsAfterCancel = 0
        private set

    /** Start commands that a controller sent after the cancellation of the job was confirmed. */
    var runsSentAfterCancel = 0
        private set

    /** A user submits a job. */
    fun submitted(spec: JobSpec) {
        specs[spec.jobId] = spec
    }

    /** A user asks for the cancellation of a job. */
    fun asksToCancel(jobId: String) {
        cancelRequested.add(jobId)
    }

    fun isAccepted(jobId: String) = jobId in accepted

    val acceptedJobs get() = accepted.toList()

    /** Whether a user was told that the job is done or cancelled. */
    fun isFinal(jobId: String) = jobId in toldDoneAt || jobId in toldCancelledAt

    fun isCancelled(jobId: String) = jobId in toldCancelledAt

    fun isDone(jobId: String) = jobId in toldDoneAt

    /** When a user was first told that the job is cancelled; null if nobody was. */
    fun cancelledAt(jobId: String) = toldCancelledAt[jobId]

    fun isAskedToCancel(jobId: String) = jobId in cancelRequested

    private fun used(team: String) =
        running
            .map { specs.getValue(it.jobId) }
            .filter { it.team == team }
            .fold(Resources.NONE) { sum, spec -> sum + spec.resources }

    /** Whether the job's team stays within its limit if that many more [tasks] of the job start. */
    fun underLimit(
        spec: JobSpec,
        tasks: Int = 1,
    ): Boolean {
        val team = teamInForce(spec.team) ?: return false
        val newUse = used(spec.team) + spec.resources * tasks
        return (team.coresMax <= 0 || newUse.cores <= team.coresMax + 1e-6) &&
            (team.gpusMax <= 0 || newUse.gpus <= team.gpusMax + 1e-6)
    }

    /** A task starts on a machine: checks its place, its team's limit and whether it may run at all. */
    fun started(
        task: OnMachine,
        now: Long,
    ) {
        starts++
        running
            .filter { it.jobId == task.jobId && it.taskIndex == task.taskIndex }
            .let { if (it.isNotEmpty()) throw RuleViolation("ran_twice", "$task while on ${it.first().machine}") }
        val spec = specs[task.jobId] ?: throw RuleViolation("invented", "$task of a job that nobody submitted")
        if (spec.types != null && task.type !in spec.types || spec.zone != null && spec.zone != task.zone ||
            task.isSpot && !spec.isSpot
        ) {
            throw RuleViolation("wrong_place", "$task")
        }
        running.add(task)
        val jobTasks = running.filter { it.jobId == task.jobId }
        if (spec.together && jobTasks.any { it.zone != task.zone }) {
            throw RuleViolation("wrong_place", "$task is not in the zone of the job's other tasks")
        }
        if (spec.scatter && jobTasks.count { it.zone == task.zone } > Placement.zoneCap(spec)) {
            throw RuleViolation("wrong_place", "$task is one task of its job too many in zone ${task.zone}")
        }
        val team = teamInForce(spec.team) ?: throw RuleViolation("quota", "$task starts for a team that does not exist")
        val used = used(spec.team)
        if (team.coresMax > 0 && used.cores > team.coresMax + 1e-6 ||
            team.gpusMax > 0 && used.gpus > team.gpusMax + 1e-6
        ) {
            throw RuleViolation("quota", "${spec.team} uses $used")
        }
        toldCancelledAt[task.jobId]?.let {
            startsAfterCancel++
            if (now - it > cancelMs) throw RuleViolation("ran_cancelled", "$task started ${now - it} ms after cancel")
        }
    }

    /** A controller sends a command to start a task; [isRepeat] tells whether the command was sent before. */
    fun runSent(
        jobId: String,
        now: Long,
        isRepeat: Boolean,
    ) {
        val at = toldCancelledAt[jobId] ?: return
        if (now <= at) return
        runsSentAfterCancel++
        if (!isRepeat) {
            throw RuleViolation(
                "ran_cancelled",
                "a first command to start $jobId was sent ${now - at} ms after its cancellation",
            )
        }
    }

    /** A task is no longer on its machine; [done] tells whether it ended with success. */
    fun left(
        task: OnMachine,
        done: Boolean,
    ) {
        running.remove(task)
        if (!done) return
        val tasks = completed.getOrPut(task.jobId) { HashSet() }
        // The tasks of a gang complete together.
        if (specs[task.jobId]?.isGang == true) {
            tasks.addAll(0 until specs.getValue(task.jobId).taskCount)
        } else {
            tasks.add(task.taskIndex)
        }
    }

    /** Checks that no cancelled task runs for too long. No event shows this, so it is to be called again and again. */
    fun check(now: Long) {
        for (task in running) {
            if (!hangs(task.machine)) {
                toldCancelledAt[task.jobId]?.let {
                    if (now - it > cancelMs) {
                        throw RuleViolation(
                            "ran_cancelled",
                            "$task is still on its machine ${now - it} ms after cancel",
                        )
                    }
                }
            }
        }
    }

    /**
     * Checks that requests about each accepted job that is neither done nor cancelled are answered. The longest time
     * without an answer is [silentMs], counted from [faultsEndedAt] (the end of all faults) at the earliest.
     */
    fun checkKnown(
        now: Long,
        faultsEndedAt: Long,
        silentMs: Long = 75_000,
    ) {
        for (jobId in accepted) {
            val last = maxOf(lastAnsweredAt[jobId] ?: 0L, faultsEndedAt)
            if (now - last > silentMs && !isFinal(jobId)) {
                throw RuleViolation("forgotten", "no request about $jobId was answered for ${now - last} ms")
            }
        }
    }

    /**
     * A user got an answer to a submission. [word] is the job's status in the answer. [sentAt] is when the request was
     * sent: the answer may state what was true at that time.
     */
    fun answeredSubmit(
        jobId: String,
        status: Int,
        word: String? = null,
        now: Long = 0,
        sentAt: Long = now,
    ) {
        if (status == 200 || status == 201) {
            accepted.add(jobId)
            if (word != null) told(jobId, word, now, sentAt)
        }
        if (jobId in accepted && sentAt >= (toldAcceptedAt[jobId] ?: 0L) &&
            (status == 400 || status == 422)
        ) {
            throw RuleViolation("forgotten", "a repeated submission of $jobId is answered $status")
        }
    }

    /**
     * A user got an answer to a query. [word] is the job's status in the answer. [sentAt] is when the request was sent:
     * the answer may state what was true at that time.
     */
    fun answeredPoll(
        jobId: String,
        status: Int,
        word: String?,
        now: Long,
        sentAt: Long = now,
    ) {
        if (status == 404 && jobId in accepted &&
            sentAt >= (toldAcceptedAt[jobId] ?: 0L)
        ) {
            throw RuleViolation("forgotten", "$jobId is answered 404")
        }
        if (status != 200) return
        if (jobId !in specs) throw RuleViolation("invented", jobId)
        told(jobId, word, now, sentAt)
    }

    /** A user was told the status [word] of a job, in the answer to a request that was sent at [sentAt]. */
    fun told(
        jobId: String,
        word: String?,
        now: Long,
        sentAt: Long = now,
    ) {
        accepted.add(jobId)
        toldAcceptedAt.putIfAbsent(jobId, now)
        lastAnsweredAt[jobId] = now
        if (toldDoneAt[jobId]?.let { it <= sentAt } == true && word != "done") {
            throw RuleViolation("went_back", "$jobId was done and is now reported as $word")
        }
        if (toldCancelledAt[jobId]?.let { it <= sentAt } == true && word != "withdrawn") {
            throw RuleViolation("went_back", "$jobId was cancelled and is now reported as $word")
        }
        if (word == "done") {
            val spec = specs.getValue(jobId)
            if (spec.format == Format.SERVICE ||
                (completed[jobId]?.size ?: 0) < spec.taskCount
            ) {
                throw RuleViolation("not_done", "$jobId has ${completed[jobId]?.size ?: 0} of ${spec.taskCount}")
            }
            toldDoneAt.putIfAbsent(jobId, now)
        }
        if (word == "withdrawn") {
            if (jobId !in cancelRequested) throw RuleViolation("went_back", "$jobId was never cancelled by its user")
            toldCancelledAt.putIfAbsent(jobId, now)
        }
    }
}
