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

/**
 * Moves replicas of services off draining machines. A migration goes through three steps: capacity is reserved on a target
 * machine; when the peers have learnt of the reservation the replica is stopped; when it is gone it is placed on the target.
 *
 * @param stateStoreAnswers whether the state store answers now and no write of this controller is queued
 */
class ReplicaMigration(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val view: ClusterView,
    private val actions: PlacementActions,
    private val stateStoreAnswers: suspend () -> Boolean,
    private val nowMs: () -> Long,
) {
    private data class ReplicaId(
        val jobId: String,
        val taskIndex: Int,
    )

    /** A replica that still runs, and the machine on which capacity is reserved for it. */
    private class Migration(
        val attempt: Attempt,
        val target: Machine,
        val plannedAt: Long,
    ) {
        val isStillWanted: Boolean
            get() =
                attempt.isLive && attempt.stop == null &&
                    target.hasReservation(attempt.job.jobId, attempt.taskIndex)
    }

    private val log = LoggerFactory.getLogger("micatally.scheduling")
    private var isCheckingStateStore = false
    private val planned = ArrayList<Migration>()

    /** The targets of replicas that have been stopped and not been placed again. */
    private val awaitingPlacement = HashMap<ReplicaId, Machine>()

    /** Places replicas of the job that have been stopped to move on the machines where capacity was reserved for them. */
    fun placeMigrated(
        job: Job,
        spec: JobSpec,
        now: Long,
    ) {
        if (awaitingPlacement.isEmpty()) return
        val entries = awaitingPlacement.entries.iterator()
        while (entries.hasNext()) {
            val (replica, target) = entries.next()
            if (replica.jobId != job.jobId || replica.taskIndex in job.attempts) continue
            entries.remove()
            val hadReservation = target.releaseReservation(replica.jobId, replica.taskIndex)
            if (!hadReservation || job.done[replica.taskIndex] || !actions.isWithinQuota(job)) continue
            if (!fitsOn(target, job, spec, now)) continue
            actions.createAttempt(job, replica.taskIndex, target)
            actions.requestWrite(job)
        }
    }

    private fun fitsOn(
        target: Machine,
        job: Job,
        spec: JobSpec,
        now: Long,
    ): Boolean {
        if (!view.isUsable(target, now)) return false
        val total = view.machines.total(target) ?: return false
        return spec.resources.fitsIn(total - target.used) && Placement.zoneRule(job, spec).allows(target.zone)
    }

    /**
     * Carries migrations off draining machines on, and plans new ones. Replicas move to machines that have their image, a few
     * at a time, so that each of them is away for a moment only. Tasks that end by themselves are left to do so.
     */
    fun migrateReplicas(now: Long) {
        awaitingPlacement.entries.removeIf { (replica, target) ->
            !target.hasReservation(replica.jobId, replica.taskIndex)
        }
        val draining = drainingMachines()
        if (draining.isEmpty() || isCheckingStateStore) return
        planned.removeIf { !it.isStillWanted }
        // After this time the peers know of the reservation; one that placed a task before has the capacity.
        val due = planned.filter { now - it.plannedAt >= settings.heartbeatIntervalMs / 2 }
        if (due.isNotEmpty()) carryOutAll(due)
        planMigrations(draining, due, now)
    }

    private fun drainingMachines(): List<Machine> =
        view.machines.byName.values.filter { machine ->
            val isDraining = machine.draining && !machine.deleted && !machine.hasSpotNotice
            isDraining && machine.attempts.isNotEmpty()
        }

    private fun carryOutAll(due: List<Migration>) {
        planned.removeAll(due.toSet())
        isCheckingStateStore = true
        scope.launch {
            val hasStateStore =
                try {
                    withTimeoutOrNull(settings.heartbeatIntervalMs / STATE_STORE_TIMEOUTS_PER_HEARTBEAT) {
                        stateStoreAnswers()
                    } ?: false
                } finally {
                    isCheckingStateStore = false
                }
            for (migration in due) {
                if (hasStateStore && mayCarryOut(migration)) carryOut(migration) else cancel(migration)
            }
        }
    }

    /** @param due migrations that are under way though not [planned] any more */
    private fun planMigrations(
        draining: List<Machine>,
        due: List<Migration>,
        now: Long,
    ) {
        val maxInProgress = maxOf(1, draining.size / MACHINES_PER_MIGRATION)
        val stopping =
            view.machines.byName.values
                .sumOf { machine -> machine.attempts.count { it.stop == StopReason.DRAIN } }
        var inProgress = planned.size + due.size + stopping
        for (attempt in draining.asSequence().flatMap { it.attempts }) {
            if (inProgress >= maxInProgress) return
            if (mayMigrate(attempt, due) && plan(attempt, now)) inProgress++
        }
    }

    private fun mayMigrate(
        attempt: Attempt,
        due: List<Migration>,
    ): Boolean {
        val job = attempt.job
        val spec = job.spec ?: return false
        if (!spec.isService || spec.isPlacedWhole) return false
        val isRunning = attempt.stop == null && attempt.state == AttemptState.RUNNING
        if (!isRunning || job.pendingCount > 0) return false
        // One replica of a job at a time: the zone rule counts the others where they are.
        val isMigrating = planned.any { it.attempt.job === job } || due.any { it.attempt.job === job }
        return !isMigrating && job.attempts.values.none { it.stop != null }
    }

    /** Reserves capacity for the replica; false if there is none. */
    private fun plan(
        attempt: Attempt,
        now: Long,
    ): Boolean {
        val job = attempt.job
        val spec = job.spec ?: return false
        // It is gone before it starts elsewhere, so its present place does not count against its zone.
        val selector =
            MachineSelector(view, job, spec, now, ImagePreference.ONLY_WITH_IMAGE, migrating = attempt)
        val target = selector.next() ?: return false
        target.reserve(job.jobId, attempt.taskIndex, spec.resources, now + settings.leaseMs)
        planned.add(Migration(attempt, target, now))
        return true
    }

    private fun mayCarryOut(migration: Migration): Boolean {
        val target = migration.target
        if (!migration.isStillWanted || migration.attempt.job.pendingCount != 0) return false
        val total = view.machines.total(target) ?: return false
        return view.isUsable(target, nowMs()) && target.used.fitsIn(total)
    }

    /**
     * A stopped replica starts again only when its intent is durable, so the state store must have answered just before: a
     * replica that was stopped as an outage of the store began would be away for all of it.
     */
    private fun carryOut(migration: Migration) {
        val attempt = migration.attempt
        attempt.stop(StopReason.DRAIN, nowMs())
        awaitingPlacement[ReplicaId(attempt.job.jobId, attempt.taskIndex)] = migration.target
        log.info("task {} moves to {}", attempt, migration.target.name)
        actions.requestSync(attempt.machine)
    }

    private fun cancel(migration: Migration) {
        migration.target.releaseReservation(migration.attempt.job.jobId, migration.attempt.taskIndex)
    }

    private companion object {
        /** One replica may be on its way for every so many draining machines, and always at least one. */
        const val MACHINES_PER_MIGRATION = 2
        const val STATE_STORE_TIMEOUTS_PER_HEARTBEAT = 4
    }
}
