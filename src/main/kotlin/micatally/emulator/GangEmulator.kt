package micatally.emulator

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.wire.ExitReason
import micatally.wire.JobSpec
import kotlin.random.Random

/** The workers' times for gangs, see the protocol's `gang_wait_s` and `gang_peer_s`. */
class GangTimes(
    val waitMs: Long,
    val peerMs: Long,
)

/** A task of a gang on a emulator worker. */
interface GangMember {
    val task: Int

    /** Nothing on its machine goes on. */
    val isHung: Boolean

    fun run()

    fun save()

    fun exit(
        reason: ExitReason,
        isSaved: Boolean,
    )
}

/** All gangs of a simulated world: the tasks of a job find each other by their attempt number. */
class GangTable(
    private val scope: CoroutineScope,
    private val times: GangTimes,
    private val random: Random,
    private val nowMs: () -> Long,
) {
    private val runs = HashMap<Pair<String, Long>, GangRun>()
    private val safeProgressMs = HashMap<String, Long>()

    /** Tasks that were told of an orderly stop too late, and those that waited in vain. */
    var toldTooLate = 0
        private set
    var endedAlone = 0
        private set
    var savedStops = 0
        private set

    fun run(
        spec: JobSpec,
        attempt: Long,
        totalMs: Long,
    ): GangRun =
        runs.getOrPut(spec.jobId to attempt) {
            GangRun(spec, totalMs)
        }

    /** Progress of a job that no failure takes back. */
    fun safeProgressMs(jobId: String): Long = safeProgressMs[jobId] ?: 0L

    /** One try of a gang, as the workers see it. */
    inner class GangRun(
        private val spec: JobSpec,
        private val totalMs: Long,
    ) {
        private val members = LinkedHashMap<Int, GangMember>()
        private val waitingSinceMs = HashMap<Int, Long>()
        private val told = HashSet<Int>()
        private var startedAtMs: Long? = null
        private var firstKillMs: Long? = null
        private var over = false
        private var watching = false

        /** The task has its image. */
        fun join(member: GangMember) {
            members[member.task] = member
            waitingSinceMs[member.task] = nowMs()
            watch()
        }

        /** The task is not on its machine any more. */
        fun leave(member: GangMember) {
            if (members[member.task] !== member) return
            members.remove(member.task)
            waitingSinceMs.remove(member.task)
            if (startedAtMs != null && !over) fail()
        }

        /** An orderly stop reaches a task that runs. */
        fun kill(member: GangMember) {
            if (over || !told.add(member.task)) return
            val first = firstKillMs
            if (first == null) {
                firstKillMs = nowMs()
                keepProgress(progressMs())
            } else if (nowMs() - first > times.peerMs) {
                toldTooLate++
            }
            member.save()
            scope.launch {
                delay((spec.saveS * 1000).toLong())
                finishSave(member)
            }
        }

        private suspend fun finishSave(member: GangMember) {
            val until = firstKillMs!! + times.peerMs
            while (told.size < spec.taskCount && nowMs() < until) delay(STEP_MS)
            if (members[member.task] !== member) return
            val whole = told.size == spec.taskCount && members.size == spec.taskCount || over && isSaved
            if (whole && !over) {
                over = true
                isSaved = true
                savedStops++
                safeProgressMs[spec.jobId] = stoppedAtMs
            }
            if (!over) fail()
            leaveWith(member, ExitReason.STOPPED, isSaved)
        }

        private var isSaved = false
        private var stoppedAtMs = 0L

        private fun keepProgress(ms: Long) {
            stoppedAtMs = ms
        }

        private fun progressMs() = minOf(totalMs, safeProgressMs(spec.jobId) + nowMs() - (startedAtMs ?: nowMs()))

        private fun leaveWith(
            member: GangMember,
            reason: ExitReason,
            isSaved: Boolean,
        ) {
            members.remove(member.task, member)
            member.exit(reason, isSaved)
        }

        /** The progress since the last checkpoint is lost, and the other tasks notice. */
        private fun fail() {
            over = true
            val reached = if (firstKillMs != null) stoppedAtMs else progressMs()
            val step = (spec.checkpointS * 1000).toLong()
            if (step > 0) safeProgressMs[spec.jobId] = maxOf(safeProgressMs(spec.jobId), reached / step * step)
            for (member in members.values.toList()) {
                scope.launch {
                    delay(random.nextLong(times.peerMs))
                    while (member.isHung) delay(STEP_MS)
                    if (members[member.task] === member) leaveWith(member, ExitReason.PEERS, false)
                }
            }
        }

        private fun watch() {
            if (watching) return
            watching = true
            scope.launch {
                while (!over && members.isNotEmpty()) {
                    look()
                    delay(STEP_MS)
                }
                watching = false
            }
        }

        private fun look() {
            val started = startedAtMs
            when {
                started == null && members.size == spec.taskCount && members.values.none { it.isHung } -> {
                    startedAtMs = nowMs()
                    for (member in members.values.toList()) member.run()
                }
                started == null -> endAlone()
                members.values.any { it.isHung } -> fail()
                firstKillMs != null -> if (nowMs() - firstKillMs!! > times.peerMs && told.size < spec.taskCount) fail()
                progressMs() >= totalMs -> complete()
            }
        }

        private fun endAlone() {
            val late = members.values.filter { !it.isHung && nowMs() - waitingSinceMs.getValue(it.task) > times.waitMs }
            for (member in late) {
                endedAlone++
                leaveWith(member, ExitReason.ALONE, false)
            }
        }

        private fun complete() {
            over = true
            for (member in members.values.toList()) leaveWith(member, ExitReason.DONE, false)
        }
    }

    private companion object {
        const val STEP_MS = 20L
    }
}
