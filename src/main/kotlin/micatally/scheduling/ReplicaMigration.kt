package micatally.scheduling

import kotlinx.coroutines.CoroutineName
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
 * Moves replicas of services off draining machines. A migration has three steps: reserve capacity on a target machine;
 * stop the replica once the peers know of the reservation; place the replica on the target once its attempt has ended.
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

    /** The target machines of replicas that have been stopped and are not placed again yet. */
    private val awaitingPlacement = HashMap<ReplicaId, Machine>()

    /** Places those replicas of the job that were stopped for a migration on the machines with their reservations. */
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
     * Continues migrations off draining machines and plans new ones. Replicas move only to machines that have their
     * image, and only a few at a time, so that each of them is away for a moment only. Not migrated are tasks of arrays
     * and gangs, which end by themselves, and services whose replicas must share one zone.
     */
    fun migrateReplicas(now: Long) {
        awaitingPlacement.entries.removeIf { (replica, target) ->
            !target.hasReservation(replica.jobId, replica.taskIndex)
        }
        val draining = drainingMachines()
        if (draining.isEmpty() || isCheckingStateStore) return
        planned.removeIf { !it.isStillWanted }
        // After half a heartbeat interval the peers know of the reservation. If a peer placed a task on the target
        // before that, the peer keeps the capacity.
        val due = planned.filter { now - it.plannedAt >= settings.heartbeatIntervalMs / 2 }
        if (due.isNotEmpty()) carryOutAll(due)
        planMigrations(draining, due, now)
    }

    private fun drainingMachines(): List<Machine> =
        view.machines.byName.values.filter { machine ->
            val isDraining = machine.draining && !machine.deleted && !machine.hasSpotNotice
            isDraining && machine.attempts.isNotEmpty()
        }

    /** Carries out the due migrations if the state store answers in time, and cancels them otherwise. */
    private fun carryOutAll(due: List<Migration>) {
        planned.removeAll(due.toSet())
        isCheckingStateStore = true
        scope.launch(CoroutineName("replica migration")) {
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

    /**
     * Plans migrations for replicas on draining machines, up to the limit of migrations in progress.
     *
     * @param due migrations that are being carried out and are no longer in [planned]
     */
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
        if (!spec.isService || spec.isAllOrNothing) return false
        val isRunning = attempt.stop == null && attempt.state == AttemptState.RUNNING
        if (!isRunning || job.pendingCount > 0) return false
        // Only one replica of a job migrates at a time, since the zone rule counts the others in their present zones.
        val isMigrating = planned.any { it.attempt.job === job } || due.any { it.attempt.job === job }
        return !isMigrating && job.attempts.values.none { it.stop != null }
    }

    /** Reserves capacity for the replica on another machine. Returns false if there is none. */
    private fun plan(
        attempt: Attempt,
        now: Long,
    ): Boolean {
        val job = attempt.job
        val spec = job.spec ?: return false
        // The attempt ends before the replica starts on the target, so the zone rule must not count it.
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
     * Stops the replica, so that it can be placed on the target. It starts there only once its new intent is durable.
     * So the state store must have answered just before: a replica that is stopped at the start of a state store outage
     * would be away for the whole outage.
     */
    private fun carryOut(migration: Migration) {
        val attempt = migration.attempt
        attempt.stop(StopReason.DRAIN, nowMs())
        awaitingPlacement[ReplicaId(attempt.job.jobId, attempt.taskIndex)] = migration.target
        log.info("task {} is stopped to migrate to machine {}", attempt, migration.target.name)
        actions.requestSync(attempt.machine)
    }

    private fun cancel(migration: Migration) {
        migration.target.releaseReservation(migration.attempt.job.jobId, migration.attempt.taskIndex)
    }

    private companion object {
        /** One migration may be in progress for each two draining machines, and always at least one. */
        const val MACHINES_PER_MIGRATION = 2

        /** A heartbeat interval divided by this is the time in which the state store must answer. */
        const val STATE_STORE_TIMEOUTS_PER_HEARTBEAT = 4
    }
}
