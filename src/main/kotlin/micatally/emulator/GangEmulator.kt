package micatally.emulator

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.wire.ExitReason
import micatally.wire.JobSpec
import kotlin.random.Random

/**
 * The times by which workers run gangs.
 *
 * @property waitMs how long a task waits for the other tasks of its gang to start, in ms; setting `gang_wait_s`
 * @property peerMs how long a task goes on without one of the other tasks, in ms; setting `gang_peer_s`
 */
class GangTimes(
    val waitMs: Long,
    val peerMs: Long,
)

/** A task of a gang on an emulated worker. */
interface GangMember {
    val taskIndex: Int

    /** Whether the machine of the task is hung: nothing on it makes progress. */
    val isHung: Boolean

    /** Called when all tasks of the gang are ready: the task begins to run. */
    fun run()

    /** Called when the task begins to save its checkpoint. */
    fun save()

    /** Called when the task ends for [reason]; [isSaved] tells whether its checkpoint was saved. */
    fun exit(
        reason: ExitReason,
        isSaved: Boolean,
    )
}

/**
 * All gangs on the emulated workers. The tasks of a gang belong together if they have the same job and the same attempt
 * number.
 */
class GangTable(
    private val scope: CoroutineScope,
    private val times: GangTimes,
    private val random: Random,
    private val nowMs: () -> Long,
) {
    private val runs = HashMap<Pair<String, Long>, GangRun>()
    private val safeProgressMs = HashMap<String, Long>()

    /** Tasks that received their kill command more than [GangTimes.peerMs] after the first task of their gang. */
    var lateKills = 0
        private set

    /** Tasks that ended because the other tasks did not start within [GangTimes.waitMs]. */
    var endedAlone = 0
        private set

    /** Gangs that were stopped with a checkpoint of all their tasks. */
    var savedStops = 0
        private set

    /** Returns the gang of a job's [attempt]. The job is done when it has run for [totalMs] over all its attempts. */
    fun run(
        spec: JobSpec,
        attempt: Long,
        totalMs: Long,
    ): GangRun =
        runs.getOrPut(spec.jobId to attempt) {
            GangRun(spec, totalMs)
        }

    /** Progress of a job, in ms, that is in a checkpoint and that no failure can take back. */
    fun safeProgressMs(jobId: String): Long = safeProgressMs[jobId] ?: 0L

    /** One attempt of a gang on the workers. */
    inner class GangRun(
        private val spec: JobSpec,
        private val totalMs: Long,
    ) {
        private val members = LinkedHashMap<Int, GangMember>()
        private val waitingSinceMs = HashMap<Int, Long>()
        private val killedTasks = HashSet<Int>()
        private var startedAtMs: Long? = null
        private var firstKillMs: Long? = null
        private var hasEnded = false
        private var isWatched = false

        /** Adds a task whose image is on its machine; it waits for the other tasks. */
        fun join(member: GangMember) {
            members[member.taskIndex] = member
            waitingSinceMs[member.taskIndex] = nowMs()
            watch()
        }

        /** Removes a task that is no longer on its machine; if the gang was running, the attempt fails. */
        fun leave(member: GangMember) {
            if (members[member.taskIndex] !== member) return
            members.remove(member.taskIndex)
            waitingSinceMs.remove(member.taskIndex)
            if (startedAtMs != null && !hasEnded) fail()
        }

        /**
         * Takes a kill command with time for a checkpoint. The task saves for [JobSpec.saveS] seconds. The checkpoint
         * is valid only if all tasks of the gang receive their kill command within [GangTimes.peerMs] of the first.
         */
        fun kill(member: GangMember) {
            if (hasEnded || !killedTasks.add(member.taskIndex)) return
            val first = firstKillMs
            if (first == null) {
                firstKillMs = nowMs()
                recordProgressAtKill(progressMs())
            } else if (nowMs() - first > times.peerMs) {
                lateKills++
            }
            member.save()
            scope.launch {
                delay((spec.saveS * 1000).toLong())
                finishSave(member)
            }
        }

        /**
         * Ends a task whose checkpoint is written, but first waits until all tasks of the gang have received their kill
         * command or the deadline for that has passed.
         */
        private suspend fun finishSave(member: GangMember) {
            val deadlineMs = firstKillMs!! + times.peerMs
            while (killedTasks.size < spec.taskCount && nowMs() < deadlineMs) delay(POLL_MS)
            if (members[member.taskIndex] !== member) return
            val areAllSaved =
                killedTasks.size == spec.taskCount && members.size == spec.taskCount || hasEnded && isSaved
            if (areAllSaved && !hasEnded) {
                hasEnded = true
                isSaved = true
                savedStops++
                safeProgressMs[spec.jobId] = progressAtKillMs
            }
            if (!hasEnded) fail()
            endMember(member, ExitReason.STOPPED, isSaved)
        }

        private var isSaved = false
        private var progressAtKillMs = 0L

        private fun recordProgressAtKill(ms: Long) {
            progressAtKillMs = ms
        }

        private fun progressMs() = minOf(totalMs, safeProgressMs(spec.jobId) + nowMs() - (startedAtMs ?: nowMs()))

        private fun endMember(
            member: GangMember,
            reason: ExitReason,
            isSaved: Boolean,
        ) {
            members.remove(member.taskIndex, member)
            member.exit(reason, isSaved)
        }

        /**
         * Ends the attempt as failed. The progress since the last checkpoint is lost; checkpoints lie
         * [JobSpec.checkpointS] seconds of progress apart. Each remaining task ends at a random moment within
         * [GangTimes.peerMs], or later when its machine is no longer hung.
         */
        private fun fail() {
            hasEnded = true
            val reachedMs = if (firstKillMs != null) progressAtKillMs else progressMs()
            val stepMs = (spec.checkpointS * 1000).toLong()
            if (stepMs > 0) safeProgressMs[spec.jobId] = maxOf(safeProgressMs(spec.jobId), reachedMs / stepMs * stepMs)
            for (member in members.values.toList()) {
                scope.launch {
                    delay(random.nextLong(times.peerMs))
                    while (member.isHung) delay(POLL_MS)
                    if (members[member.taskIndex] === member) endMember(member, ExitReason.PEERS, false)
                }
            }
        }

        /** Calls [checkProgress] every [POLL_MS] until the attempt has ended or has no tasks left. */
        private fun watch() {
            if (isWatched) return
            isWatched = true
            scope.launch {
                while (!hasEnded && members.isNotEmpty()) {
                    checkProgress()
                    delay(POLL_MS)
                }
                isWatched = false
            }
        }

        /** Starts, fails or completes the gang if its state calls for it. */
        private fun checkProgress() {
            val started = startedAtMs
            when {
                started == null && members.size == spec.taskCount && members.values.none { it.isHung } -> {
                    startedAtMs = nowMs()
                    for (member in members.values.toList()) member.run()
                }
                started == null -> endWaitingTooLong()
                members.values.any { it.isHung } -> fail()
                firstKillMs != null ->
                    if (nowMs() - firstKillMs!! > times.peerMs && killedTasks.size < spec.taskCount) fail()
                progressMs() >= totalMs -> complete()
            }
        }

        /** Ends the tasks that have waited for the others for more than [GangTimes.waitMs]. */
        private fun endWaitingTooLong() {
            val overdue =
                members.values.filter {
                    !it.isHung && nowMs() - waitingSinceMs.getValue(it.taskIndex) > times.waitMs
                }
            for (member in overdue) {
                endedAlone++
                endMember(member, ExitReason.ALONE, false)
            }
        }

        private fun complete() {
            hasEnded = true
            for (member in members.values.toList()) endMember(member, ExitReason.DONE, false)
        }
    }

    private companion object {
        const val POLL_MS = 20L
    }
}
