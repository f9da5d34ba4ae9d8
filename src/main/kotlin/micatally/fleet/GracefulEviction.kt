package micatally.fleet

import micatally.settings.OperatorSettings
import micatally.settings.Settings
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/**
 * The tasks for which machines are kept.
 *
 * @property unplaced tasks that find no free capacity at present
 * @property supplied those that are placed all at once, as soon as further machines have come up in their zone
 */
class EvictionDemand(
    val unplaced: List<ResourceRequest>,
    val supplied: List<ResourceRequest>,
)

/**
 * Evicts machines that are idle, or whose tasks fit on other machines. An eviction is cancelled if it takes too long or
 * if unplaced tasks may run on the machine.
 *
 * @param recentServices services that were submitted recently, to any controller
 * @param isCapacityKnownSince whether all controllers know what was in the state store at this time, in milliseconds,
 * and have told this one after that which capacity they hold
 */
class GracefulEviction(
    private val settings: Settings,
    private val operator: OperatorSettings,
    private val machines: MachineRegistry,
    private val instances: ProvisionedInstances,
    private val records: EvictionRecords,
    private val scaleIn: ScaleIn,
    private val recentServices: () -> List<ResourceRequest>,
    private val isCapacityKnownSince: (sinceMs: Long) -> Boolean,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")

    /** The evictions in progress, by the name of the machine. */
    private val evictions = HashMap<String, Eviction>()

    /** Until when a machine is exempt from eviction because its last one was cancelled, by the name of the machine. */
    private val exemptUntilMs = HashMap<String, Long>()
    private var termBeganAtMs = 0L
    private var lastConsolidationAtMs = 0L

    /** Begins a term as the fleet manager: continues the evictions of the previous fleet manager. */
    fun beginTerm(now: Long) {
        termBeganAtMs = now
        evictions.clear()
        for (name in records.names()) evictions[name] = Eviction(now, EvictionState.EVICTING)
    }

    /**
     * Reviews all machines: cancels, finishes and begins evictions. Consolidation runs only while no task lacks free
     * capacity and every controller has told lately which capacity it holds, and no earlier than two leases after the
     * term began. Machines would seem little used otherwise.
     *
     * @param observedSinceMs since when this process has observed the machines; that one was empty before does not count
     */
    fun review(
        demand: EvictionDemand,
        now: Long,
        observedSinceMs: Long,
    ) {
        for (machine in machines.byName.values) {
            val hasReported = machine.incarnation != 0L
            if (!machine.deleted && hasReported) review(machine, demand, now, observedSinceMs)
        }
        evictions.keys.removeIf { it in machines.deletedNames }
        records.reconcile(evictions.keys, now)
        if (demand.unplaced.isEmpty() && isConsolidationDue(now)) {
            lastConsolidationAtMs = now
            consolidate(now)
        }
    }

    private fun isConsolidationDue(now: Long): Boolean {
        val isSettled = now - termBeganAtMs > settings.leaseMs * 2
        val isDue = now - lastConsolidationAtMs > machines.bootMs(null) / CONSOLIDATIONS_PER_BOOT
        return isSettled && isDue && isCapacityKnownSince(now - settings.leaseMs)
    }

    private fun review(
        machine: Machine,
        demand: EvictionDemand,
        now: Long,
        observedSinceMs: Long,
    ) {
        val eviction = evictions[machine.name]
        when {
            !isEmpty(machine) -> reviewInUse(machine, eviction, demand.unplaced, now)
            eviction != null -> deleteOnceKnownToAll(machine, eviction, now, observedSinceMs)
            demand.supplied.any { isMeantFor(it, machine) } -> Unit
            else -> evictIfIdle(machine, now, observedSinceMs)
        }
    }

    /**
     * Reviews a machine that is in use. Its eviction is cancelled if unplaced tasks may run on it or if the eviction
     * takes too long, unless the cloud is going to reclaim the machine.
     */
    private fun reviewInUse(
        machine: Machine,
        eviction: Eviction?,
        resourceRequests: List<ResourceRequest>,
        now: Long,
    ) {
        machine.busyAt = now
        if (eviction == null || machine.hasSpotNotice) return
        eviction.transitionTo(EvictionState.EVICTING, now)
        if (resourceRequests.any { mayRunOn(it, machine) }) {
            cancel(machine, now, "unplaced tasks may run on it")
        } else if (now - eviction.beganAtMs > machines.bootMs(machine.type) * EVICTION_TIMEOUT_BOOTS) {
            cancel(machine, now, "its tasks did not leave in time")
        }
    }

    /**
     * Requests the deletion of an empty machine once all controllers know of its eviction and have told what they hold.
     * A controller that does not know of it yet may still start a task on the machine.
     */
    private fun deleteOnceKnownToAll(
        machine: Machine,
        eviction: Eviction,
        now: Long,
        observedSinceMs: Long,
    ) {
        eviction.transitionTo(EvictionState.EMPTY, now)
        eviction.recordedSinceMs = if (records.has(machine.name)) eviction.recordedSinceMs ?: now else null
        val recordedSinceMs = eviction.recordedSinceMs ?: return
        if (!isCapacityKnownSince(maxOf(eviction.stateSinceMs, recordedSinceMs, observedSinceMs))) return
        scaleIn.request(DeletionRequest(machine.name, DeletionReason.EVICTED) { isEvicted(machine) })
    }

    /** Whether the machine is empty, and its eviction has not been cancelled. */
    private fun isEvicted(machine: Machine): Boolean =
        isEmpty(machine) && evictions[machine.name]?.state == EvictionState.EMPTY

    /** Evicts the machine if it has been idle for long enough; at once if the cloud is going to reclaim it. */
    private fun evictIfIdle(
        machine: Machine,
        now: Long,
        observedSinceMs: Long,
    ) {
        val idleMs =
            if (machine.hasSpotNotice) 0L else (machines.bootMs(machine.type) * operator.fleetIdleBoots).toLong()
        if (now - maxOf(machine.busyAt, observedSinceMs) > idleMs) evict(machine, now, EvictionState.EMPTY, "idle")
    }

    /** Whether no controller uses the machine: no unfinished task or attempt is on it, and no capacity is held. */
    private fun isEmpty(machine: Machine): Boolean {
        val used = machine.used
        val hasNoTasks = machine.tasks.all { it.isEnded } && machine.attempts.isEmpty()
        return hasNoTasks && used.cores < EPSILON && used.gpus < EPSILON && used.memoryGb < EPSILON
    }

    /** Whether the idle machine is one of those on which the tasks of the request will be placed. */
    private fun isMeantFor(
        request: ResourceRequest,
        machine: Machine,
    ): Boolean {
        val total = machines.total(machine) ?: return false
        val fits = Resources(request.cores, request.gpus, request.memoryGb).fitsIn(total)
        return fits && mayRunOn(request, machine) && !machine.hasSpotNotice
    }

    private fun mayRunOn(
        request: ResourceRequest,
        machine: Machine,
    ): Boolean {
        val isTypeAllowed = request.types.isEmpty() || machine.type in request.types
        val isZoneAllowed = request.zones.isEmpty() || machine.zone in request.zones
        return isTypeAllowed && isZoneAllowed && (!machine.isSpot || request.isSpot)
    }

    /** Begins to evict machines whose tasks fit on other machines, up to the limit of concurrent evictions. */
    private fun consolidate(now: Long) {
        val inService = machines.byName.values.filter { isInService(it, now) }
        val evicting =
            evictions
                .filterValues { it.state == EvictionState.EVICTING }
                .keys
                .mapNotNull { machines.of(it) }
                .filter { !it.deleted }
        val maxConcurrent = maxOf(MIN_CONCURRENT_EVICTIONS, (inService.size * MAX_EVICTING_SHARE).toInt())
        val limit = maxConcurrent - evicting.size
        if (limit <= 0) return
        val plan =
            ConsolidationPlan(inService, evicting, machines.machineTypes, recentServices(), operator.fleetHeadroom)
        for (selection in plan.select(limit) { mayEvict(it, now) }) {
            evict(selection.machine, now, EvictionState.EVICTING, selection.reason)
        }
    }

    private fun isInService(
        machine: Machine,
        now: Long,
    ): Boolean {
        val isLeaving = machine.deleted || machine.hasSpotNotice || machine.name in evictions
        return !isLeaving && machine.incarnation > 0 && now - machine.heardAt < settings.leaseMs / 2
    }

    private fun mayEvict(
        machine: Machine,
        now: Long,
    ): Boolean {
        val provisionedAt = instances.of(machine.name)?.provisionedAtMs ?: 0L
        val isPastMinimumCharge = now - provisionedAt > MIN_CHARGE_MS
        return isPastMinimumCharge && (exemptUntilMs[machine.name] ?: 0L) < now
    }

    private fun evict(
        machine: Machine,
        now: Long,
        state: EvictionState,
        reason: String,
    ) {
        evictions[machine.name] = Eviction(now, state)
        log.info("evicting machine {}: {}", machine.name, reason)
        records.put(machine.name)
    }

    private fun cancel(
        machine: Machine,
        now: Long,
        reason: String,
    ) {
        evictions.remove(machine.name)
        exemptUntilMs[machine.name] = now + machines.bootMs(machine.type) * EXEMPTION_BOOTS
        log.info("eviction of machine {} cancelled: {}", machine.name, reason)
        records.delete(machine.name)
    }

    private companion object {
        /** Smaller amounts of used resources are rounding errors of sums. */
        const val EPSILON = 1e-6

        /** The minimum time for which the cloud charges for a machine, in milliseconds. */
        const val MIN_CHARGE_MS = 60_000L

        /**
         * The number of machines that may be evicted at the same time, or [MAX_EVICTING_SHARE] of the machines in
         * service if that is more.
         */
        const val MIN_CONCURRENT_EVICTIONS = 2

        /** The share of the machines in service that may be evicted at the same time. */
        const val MAX_EVICTING_SHARE = 0.25

        /** How many times per boot time of the slowest machine type consolidation runs. */
        const val CONSOLIDATIONS_PER_BOOT = 6

        /** An eviction is cancelled after this many boot times of the machine's type. */
        const val EVICTION_TIMEOUT_BOOTS = 4

        /** After a cancelled eviction, the machine is exempt for this many boot times of its type. */
        const val EXEMPTION_BOOTS = 2
    }
}
