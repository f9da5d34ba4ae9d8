package micatally.emulator

import micatally.scheduling.Placement
import micatally.settings.Team
import micatally.wire.Resources
import micatally.wire.Format
import micatally.wire.JobSpec

/** A broken rule of the protocol, in the protocol's name for it. */
class RuleViolation(
    val rule: String,
    what: String,
) : AssertionError("$rule: $what")

/** A task on a machine, as the outside world sees it. */
data class OnMachine(
    val ref: String,
    val taskIndex: Int,
    val machine: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
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
        specs[spec.ref] = spec
    }

    fun asksToCancel(ref: String) {
        cancelAsked.add(ref)
    }

    fun isAccepted(ref: String) = ref in accepted

    val acceptedJobs get() = accepted.toList()

    fun isFinal(ref: String) = ref in toldDoneAt || ref in toldCancelledAt

    fun isCancelled(ref: String) = ref in toldCancelledAt

    fun isDone(ref: String) = ref in toldDoneAt

    fun cancelledAt(ref: String) = toldCancelledAt[ref]

    fun isAskedToCancel(ref: String) = ref in cancelAsked

    private fun used(team: String) =
        running.map { specs.getValue(it.ref) }.filter { it.team == team }.fold(Resources.NONE) { a, s ->
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
                it.ref == t.ref && it.taskIndex == t.taskIndex
            }.let { if (it.isNotEmpty()) throw RuleViolation("ran_twice", "$t while on ${it.first().machine}") }
        val spec = specs[t.ref] ?: throw RuleViolation("invented", "$t of a job that nobody submitted")
        if (spec.types != null && t.type !in spec.types || spec.zone != null && spec.zone != t.zone ||
            t.spot && !spec.spot
        ) {
            throw RuleViolation("wrong_place", "$t")
        }
        running.add(t)
        val mine = running.filter { it.ref == t.ref }
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
        toldCancelledAt[t.ref]?.let {
            startsAfterCancel++
            if (now - it > cancelMs) throw RuleViolation("ran_cancelled", "$t started ${now - it} ms after")
        }
    }

    /** A controller sends a command to start [ref]'s task. [known] tells whether it was sent before. */
    fun runSent(
        ref: String,
        now: Long,
        known: Boolean,
    ) {
        val at = toldCancelledAt[ref] ?: return
        if (now <= at) return
        runsSentAfterCancel++
        if (!known) {
            throw RuleViolation(
                "ran_cancelled",
                "a first command to start $ref left ${now - at} ms after its cancellation",
            )
        }
    }

    fun left(
        t: OnMachine,
        done: Boolean,
    ) {
        running.remove(t)
        if (!done) return
        val tasks = completed.getOrPut(t.ref) { HashSet() }
        // The tasks of a gang complete together.
        if (specs[t.ref]?.isGang ==
            true
        ) {
            tasks.addAll(0 until specs.getValue(t.ref).taskCount)
        } else {
            tasks.add(t.taskIndex)
        }
    }

    /** Looked at after each step: what no event shows. */
    fun check(now: Long) {
        for (t in running) {
            if (!hangs(t.machine)) {
                toldCancelledAt[t.ref]?.let {
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
        for (ref in accepted) {
            val last = maxOf(answeredAt[ref] ?: 0L, troublesOverAt)
            if (now - last > silentMs &&
                !isFinal(ref)
            ) {
                throw RuleViolation("forgotten", "no question about $ref was answered for ${now - last} ms")
            }
        }
    }

    /** [sentAt] is when the question left: an answer may be as old as its question. */
    fun answeredSubmit(
        ref: String,
        status: Int,
        word: String? = null,
        now: Long = 0,
        sentAt: Long = now,
    ) {
        if (status == 200 || status == 201) {
            accepted.add(ref)
            if (word != null) told(ref, word, now, sentAt)
        }
        if (ref in accepted && sentAt >= (toldAcceptedAt[ref] ?: 0L) &&
            (status == 400 || status == 422)
        ) {
            throw RuleViolation("forgotten", "a repeat of $ref is answered $status")
        }
    }

    /** [sentAt] is when the question left: an answer may be as old as its question. */
    fun answeredPoll(
        ref: String,
        status: Int,
        word: String?,
        now: Long,
        sentAt: Long = now,
    ) {
        if (status == 404 && ref in accepted &&
            sentAt >= (toldAcceptedAt[ref] ?: 0L)
        ) {
            throw RuleViolation("forgotten", "$ref is answered 404")
        }
        if (status != 200) return
        if (ref !in specs) throw RuleViolation("invented", ref)
        told(ref, word, now, sentAt)
    }

    fun told(
        ref: String,
        word: String?,
        now: Long,
        sentAt: Long = now,
    ) {
        accepted.add(ref)
        toldAcceptedAt.putIfAbsent(ref, now)
        answeredAt[ref] = now
        if (toldDoneAt[ref]?.let { it <= sentAt } == true &&
            word != "done"
        ) {
            throw RuleViolation("went_back", "$ref was done and is called $word")
        }
        if (toldCancelledAt[ref]?.let { it <= sentAt } == true &&
            word != "withdrawn"
        ) {
            throw RuleViolation("went_back", "$ref was cancelled and is called $word")
        }
        if (word == "done") {
            val spec = specs.getValue(ref)
            if (spec.format == Format.SERVICE ||
                (completed[ref]?.size ?: 0) < spec.taskCount
            ) {
                throw RuleViolation("not_done", "$ref has ${completed[ref]?.size ?: 0} of ${spec.taskCount}")
            }
            toldDoneAt.putIfAbsent(ref, now)
        }
        if (word == "withdrawn") {
            if (ref !in cancelAsked) throw RuleViolation("went_back", "$ref was never cancelled by its user")
            toldCancelledAt.putIfAbsent(ref, now)
        }
    }
}
