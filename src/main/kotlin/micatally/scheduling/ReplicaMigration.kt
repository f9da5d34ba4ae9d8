package micatally.scheduling

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.Job
import micatally.job.JobManager
import micatally.job.JobStore
import micatally.job.StopReason
import micatally.quota.Quota
import micatally.settings.Settings
import micatally.wire.JobSpec
import micatally.worker.CommandDispatcher
import micatally.worker.Machine
import org.slf4j.LoggerFactory

/** Moves replicas off machines that are being emptied. */
class ReplicaMigration(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val view: ClusterView,
    private val jobManager: JobManager,
    private val store: JobStore,
    private val quota: Quota,
    private val dispatcher: CommandDispatcher,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.scheduling")

    /** Replicas that were stopped to move go where room was kept for them. */
    fun place(
        job: Job,
        spec: JobSpec,
        now: Long,
    ) {
        if (moved.isEmpty()) return
        val each = moved.entries.iterator()
        while (each.hasNext()) {
            val (task, to) = each.next()
            if (task.first != job.jobId || task.second in job.attempts) continue
            each.remove()
            if (!to.release(task.first, task.second) || job.done[task.second] || !quota.allows(job)) continue
            if (!view.isUsable(to, now) || !spec.resources.fitsIn((view.machines.total(to) ?: continue) - to.used) ||
                !Placement.zones(job, spec).allows(to.zone)
            ) {
                continue
            }
            jobManager.place(job, task.second, to)
            store.requestWrite(job)
        }
    }

    /** Machines that are being emptied: replicas move to rooms that have their image, a few at a time, so that each is
     * away for a blink only. Whatever ends by itself is left to do so. */
    fun migrateReplicas(now: Long) {
        moved.entries.removeIf { (task, to) -> !to.promised(task.first, task.second) }
        val draining =
            view.machines.byName.values.filter {
                it.draining && !it.deleted && !it.hasSpotNotice &&
                    it.attempts.isNotEmpty()
            }
        if (draining.isEmpty() || checking) return
        val most = maxOf(1, draining.size / MACHINES_A_MOVE)
        moving.removeIf { !it.a.isLive || it.a.stop != null || !it.to.promised(it.a.job.jobId, it.a.taskIndex) }
        // The peers have heard of a promise after a while; whoever was faster has the room.
        val due = moving.filter { now - it.at >= settings.heartbeatIntervalMs / 2 }
        if (due.isNotEmpty()) {
            moving.removeAll(due.toSet())
            checking = true
            scope.launch {
                val ok =
                    try {
                        withTimeoutOrNull(settings.heartbeatIntervalMs / 4) { stateAnswers() } ?: false
                    } finally {
                        checking =
                            false
                    }
                for (move in due) carryOut(move, ok)
            }
        }
        var under =
            moving.size + due.size +
                view.machines.byName.values
                    .sumOf { m -> m.attempts.count { it.stop == StopReason.DRAIN } }
        for (m in draining) {
            for (a in m.attempts) {
                if (under >= most) return
                val spec = a.job.spec ?: continue
                if (!spec.isService || spec.isPlacedWhole || a.stop != null || a.state != AttemptState.RUNNING ||
                    a.job.pendingCount > 0
                ) {
                    continue
                }
                // One replica of a job at a time: its zones are counted with the others where they are.
                if (moving.any { it.a.job === a.job } || due.any { it.a.job === a.job } ||
                    a.job.attempts.values
                        .any { it.stop != null }
                ) {
                    continue
                }
                // It is gone before it starts elsewhere, so its own place does not count against its zone.
                val to = MachineSelector(view, a.job, spec, now, withImage = true, moving = a).next() ?: continue
                to.promise(a.job.jobId, a.taskIndex, spec.resources, now + settings.leaseMs)
                moving.add(Move(a, to, now))
                under++
            }
        }
    }

    /** A stopped replica starts again only when its intent is written, so the state service has to have answered just now:
     * one that was stopped as an outage began was away for all of it. */
    private fun carryOut(
        move: Move,
        stateAnswered: Boolean,
    ) {
        val now = nowMs()
        val jobId = move.a.job.jobId
        val total = view.machines.total(move.to)
        val ready =
            move.a.isLive && move.a.stop == null && move.a.job.pendingCount == 0 &&
                move.to.promised(jobId, move.a.taskIndex)
        if (!stateAnswered || !ready || total == null || !view.isUsable(move.to, now) ||
            !move.to.used.fitsIn(total)
        ) {
            move.to.release(jobId, move.a.taskIndex)
            return
        }
        move.a.stop(StopReason.DRAIN, now)
        moved[jobId to move.a.taskIndex] = move.to
        log.info("task {} moves to {}", move.a, move.to.name)
        dispatcher.requestSync(move.a.machine)
    }

    /** Whether the state service answers now, and no write of this node waits. */
    var stateAnswers: suspend () -> Boolean = { true }
    private var checking = false

    private class Move(
        val a: Attempt,
        val to: Machine,
        val at: Long,
    )

    private val moving = ArrayList<Move>()
    private val moved = HashMap<Pair<String, Int>, Machine>()

    private companion object {
        /** For so many machines that are being emptied one replica may be on its way. */
        const val MACHINES_A_MOVE = 2
    }
}
