package micatally.emulator

import micatally.scheduling.Placement
import micatally.settings.Team
import micatally.wire.Format
import micatally.wire.JobSpec
import micatally.wire.Resources

/** A broken rule of the protocol, in the protocol's name for it. */
class RuleViolation(
    val rule: String,
    what: String,
) : AssertionError("$rule: $what")

/** A task on a machine, as the outside world sees it. */
data class OnMachine(
    val jobId: String,
    val taskIndex: Int,
    val machine: String,
    val type: String,
    val zone: String,
    val isSpot: Boolean,
)

/** The protocol's rules, checked from outside: by what machines do and what users are told. */
class RuleChecker(
    /** The team with the limit in force now; null for a team that has none. */
    private val teamInForce: (String) -> Team?,
    private val cancelMs: Long,
) {
    constructor(teams: Map<String, Team>, cancelMs: Long) : this({ teams[it] }, cancelMs)

    /** Whether a machine hangs: what is on it then runs on only if it goes on later. */
    var hangs: (String) -> Boolean = { false }
    val specs = HashMap<String, JobSpec>()
    val running = LinkedHashSet<OnMachine>()
    val completed = HashMap<String, HashSet<Int>>()
    private val accepted = HashSet<String>()
    private val cancelAsked = HashSet<String>()
    private val toldAcceptedAt = HashMap<String, Long>()
    private val toldCancelledAt = HashMap<String, Long>()
    private val toldDoneAt = HashMap<String, Long>()
    private val answeredAt = HashMap<String, Long>()
    var starts = 0
        private set

    /** Starts after a confirmed cancellation, by a command that was under way; allowed for a while, but to be told. */
    var startsAfterCancel = 0
        private set

    /** Commands to start that left a controller after the cancellation was confirmed. */
    var runsSentAfterCancel = 0
        private set

    fun submitted(spec: JobSpec) {
        specs[spec.jobId] = spec
    }

    fun asksToCancel(jobId: String) {
        cancelAsked.add(jobId)
    }

    fun isAccepted(jobId: String) = jobId in accepted

    val acceptedJobs get() = accepted.toList()

    fun isFinal(jobId: String) = jobId in toldDoneAt || jobId in toldCancelledAt

    fun isCancelled(jobId: String) = jobId in toldCancelledAt

    fun isDone(jobId: String) = jobId in toldDoneAt

    fun cancelledAt(jobId: String) = toldCancelledAt[jobId]

    fun isAskedToCancel(jobId: String) = jobId in cancelAsked

    private fun used(team: String) =
        running.map { specs.getValue(it.jobId) }.filter { it.team == team }.fold(Resources.NONE) { a, s ->
            a +
                s.resources
        }

    /** Whether so many more tasks of this job stay within its team's limit. */
    fun underLimit(
        s: JobSpec,
        tasks: Int = 1,
    ): Boolean {
        val team = teamInForce(s.team) ?: return false
        val next = used(s.team) + s.resources * tasks
        return (team.coresMax <= 0 || next.cores <= team.coresMax + 1e-6) &&
            (team.gpusMax <= 0 || next.gpus <= team.gpusMax + 1e-6)
    }

    fun started(
        t: OnMachine,
        now: Long,
    ) {
        starts++
        running
            .filter {
                it.jobId == t.jobId && it.taskIndex == t.taskIndex
            }.let { if (it.isNotEmpty()) throw RuleViolation("ran_twice", "$t while on ${it.first().machine}") }
        val spec = specs[t.jobId] ?: throw RuleViolation("invented", "$t of a job that nobody submitted")
        if (spec.types != null && t.type !in spec.types || spec.zone != null && spec.zone != t.zone ||
            t.isSpot && !spec.isSpot
        ) {
            throw RuleViolation("wrong_place", "$t")
        }
        running.add(t)
        val mine = running.filter { it.jobId == t.jobId }
        if (spec.together &&
            mine.any { it.zone != t.zone }
        ) {
            throw RuleViolation("wrong_place", "$t is not with its job's others")
        }
        if (spec.scatter &&
            mine.count { it.zone == t.zone } > Placement.zoneCap(spec)
        ) {
            throw RuleViolation("wrong_place", "$t is one too many in ${t.zone}")
        }
        val team = teamInForce(spec.team) ?: throw RuleViolation("quota", "$t starts for a team that is not there")
        val used = used(spec.team)
        if (team.coresMax > 0 && used.cores > team.coresMax + 1e-6 ||
            team.gpusMax > 0 && used.gpus > team.gpusMax + 1e-6
        ) {
            throw RuleViolation("quota", "${spec.team} uses $used")
        }
        toldCancelledAt[t.jobId]?.let {
            startsAfterCancel++
            if (now - it > cancelMs) throw RuleViolation("ran_cancelled", "$t started ${now - it} ms after")
        }
    }

    /** A controller sends a command to start [jobId]'s task. [known] tells whether it was sent before. */
    fun runSent(
        jobId: String,
        now: Long,
        known: Boolean,
    ) {
        val at = toldCancelledAt[jobId] ?: return
        if (now <= at) return
        runsSentAfterCancel++
        if (!known) {
            throw RuleViolation(
                "ran_cancelled",
                "a first command to start $jobId left ${now - at} ms after its cancellation",
            )
        }
    }

    fun left(
        t: OnMachine,
        done: Boolean,
    ) {
        running.remove(t)
        if (!done) return
        val tasks = completed.getOrPut(t.jobId) { HashSet() }
        // The tasks of a gang complete together.
        if (specs[t.jobId]?.isGang ==
            true
        ) {
            tasks.addAll(0 until specs.getValue(t.jobId).taskCount)
        } else {
            tasks.add(t.taskIndex)
        }
    }

    /** Looked at after each step: what no event shows. */
    fun check(now: Long) {
        for (t in running) {
            if (!hangs(t.machine)) {
                toldCancelledAt[t.jobId]?.let {
                    if (now - it >
                        cancelMs
                    ) {
                        throw RuleViolation("ran_cancelled", "$t is still there ${now - it} ms after")
                    }
                }
            }
        }
    }

    /** Every accepted job is answered for: once all troubles are over, nothing may go without an answer for [silentMs]. */
    fun checkKnown(
        now: Long,
        troublesOverAt: Long,
        silentMs: Long = 75_000,
    ) {
        for (jobId in accepted) {
            val last = maxOf(answeredAt[jobId] ?: 0L, troublesOverAt)
            if (now - last > silentMs &&
                !isFinal(jobId)
            ) {
                throw RuleViolation("forgotten", "no question about $jobId was answered for ${now - last} ms")
            }
        }
    }

    /** [sentAt] is when the question left: an answer may be as old as its question. */
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
            throw RuleViolation("forgotten", "a repeat of $jobId is answered $status")
        }
    }

    /** [sentAt] is when the question left: an answer may be as old as its question. */
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

    fun told(
        jobId: String,
        word: String?,
        now: Long,
        sentAt: Long = now,
    ) {
        accepted.add(jobId)
        toldAcceptedAt.putIfAbsent(jobId, now)
        answeredAt[jobId] = now
        if (toldDoneAt[jobId]?.let { it <= sentAt } == true &&
            word != "done"
        ) {
            throw RuleViolation("went_back", "$jobId was done and is called $word")
        }
        if (toldCancelledAt[jobId]?.let { it <= sentAt } == true &&
            word != "withdrawn"
        ) {
            throw RuleViolation("went_back", "$jobId was cancelled and is called $word")
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
            if (jobId !in cancelAsked) throw RuleViolation("went_back", "$jobId was never cancelled by its user")
            toldCancelledAt.putIfAbsent(jobId, now)
        }
    }
}
