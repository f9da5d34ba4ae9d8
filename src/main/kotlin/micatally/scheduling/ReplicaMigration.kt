package micatally.scheduling

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import micatally.job.Attempt
import micatally.job.AttemptState
import micatally.job.Job
import micatally.job.StopReason
import micatally.settings.Settings
import micatally.wire.JobSpec
import micatally.worker.Machine
import org.slf4j.LoggerFactory

/** Moves replicas off machines that are being emptied. */
class ReplicaMigration(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val view: ClusterView,
    private val actions: PlacementActions,
    private val stateStoreAnswers: suspend () -> Boolean,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.scheduling")

    /** Replicas that were stopped to move go where room was kept for them. */
    fun placeMigrated(
        job: Job,
        spec: JobSpec,
        now: Long,
    ) {
        if (awaitingPlacement.isEmpty()) return
        val entries = awaitingPlacement.entries.iterator()
        while (entries.hasNext()) {
            val (task, target) = entries.next()
            if (task.first != job.jobId || task.second in job.attempts) continue
            entries.remove()
            if (!target.release(task.first, task.second) || job.done[task.second] ||
                !actions.isWithinQuota(job)
            ) {
                continue
            }
            if (!view.isUsable(target, now) ||
                !spec.resources.fitsIn((view.machines.total(target) ?: continue) - target.used) ||
                !Placement.zoneRule(job, spec).allows(target.zone)
            ) {
                continue
            }
            actions.createAttempt(job, task.second, target)
            actions.requestWrite(job)
        }
    }

    /** Machines that are being emptied: replicas move to rooms that have their image, a few at a time, so that each is
     * away for a blink only. Whatever ends by itself is left to do so. */
    fun migrateReplicas(now: Long) {
        awaitingPlacement.entries.removeIf { (task, target) -> !target.promised(task.first, task.second) }
        val draining =
            view.machines.byName.values.filter {
                it.draining && !it.deleted && !it.hasSpotNotice &&
                    it.attempts.isNotEmpty()
            }
        if (draining.isEmpty() || isCheckingStateStore) return
        val maxInProgress = maxOf(1, draining.size / MACHINES_PER_MIGRATION)
        planned.removeIf {
            !it.attempt.live || it.attempt.stop != null ||
                !it.target.promised(it.attempt.job.jobId, it.attempt.taskIndex)
        }
        // The peers have heard of a promise after a while; whoever was faster has the room.
        val due = planned.filter { now - it.plannedAt >= settings.heartbeatIntervalMs / 2 }
        if (due.isNotEmpty()) {
            planned.removeAll(due.toSet())
            isCheckingStateStore = true
            scope.launch {
                val isStateStoreResponsive =
                    try {
                        withTimeoutOrNull(settings.heartbeatIntervalMs / 4) { stateStoreAnswers() } ?: false
                    } finally {
                        isCheckingStateStore =
                            false
                    }
                for (migration in due) carryOut(migration, isStateStoreResponsive)
            }
        }
        var inProgress =
            planned.size + due.size +
                view.machines.byName.values
                    .sumOf { machine -> machine.attempts.count { it.stop == StopReason.DRAIN } }
        for (machine in draining) {
            for (attempt in machine.attempts) {
                if (inProgress >= maxInProgress) return
                val spec = attempt.job.spec ?: continue
                if (!spec.isService || spec.isPlacedWhole || attempt.stop != null ||
                    attempt.state != AttemptState.RUNNING ||
                    attempt.job.pendingCount > 0
                ) {
                    continue
                }
                // One replica of a job at a time: its zones are counted with the others where they are.
                if (planned.any { it.attempt.job === attempt.job } || due.any { it.attempt.job === attempt.job } ||
                    attempt.job.attempts.values
                        .any { it.stop != null }
                ) {
                    continue
                }
                // It is gone before it starts elsewhere, so its own place does not count against its zone.
                val target =
                    MachineSelector(
                        view,
                        attempt.job,
                        spec,
                        now,
                        imagePreference = ImagePreference.ONLY_WITH_IMAGE,
                        migrating = attempt,
                    ).next()
                        ?: continue
                target.promise(attempt.job.jobId, attempt.taskIndex, spec.resources, now + settings.leaseMs)
                planned.add(Migration(attempt, target, now))
                inProgress++
            }
        }
    }

    /** A stopped replica starts again only when its intent is written, so the state service has to have answered just now:
     * one that was stopped as an outage began was away for all of it. */
    private fun carryOut(
        migration: Migration,
        isStateStoreResponsive: Boolean,
    ) {
        val now = nowMs()
        val jobId = migration.attempt.job.jobId
        val total = view.machines.total(migration.target)
        val isStillPlanned =
            migration.attempt.live && migration.attempt.stop == null && migration.attempt.job.pendingCount == 0 &&
                migration.target.promised(jobId, migration.attempt.taskIndex)
        if (!isStateStoreResponsive || !isStillPlanned || total == null || !view.isUsable(migration.target, now) ||
            !migration.target.used.fitsIn(total)
        ) {
            migration.target.release(jobId, migration.attempt.taskIndex)
            return
        }
        migration.attempt.stop(StopReason.DRAIN, now)
        awaitingPlacement[jobId to migration.attempt.taskIndex] = migration.target
        log.info("task {} moves to {}", migration.attempt, migration.target.name)
        actions.requestSync(migration.attempt.machine)
    }

    private var isCheckingStateStore = false

    private class Migration(
        val attempt: Attempt,
        val target: Machine,
        val plannedAt: Long,
    )

    private val planned = ArrayList<Migration>()
    private val awaitingPlacement = HashMap<Pair<String, Int>, Machine>()

    private companion object {
        /** For so many machines that are being emptied one replica may be on its way. */
        const val MACHINES_PER_MIGRATION = 2
    }
}
