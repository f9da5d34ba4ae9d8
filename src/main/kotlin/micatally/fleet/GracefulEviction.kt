package micatally.fleet

import micatally.settings.OperatorSettings
import micatally.settings.Settings
import micatally.wire.ResourceRequest
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/**
 * Takes machines out of service that are idle, or whose tasks fit on others. An eviction that takes too long, or whose machine is
 * needed again, is cancelled.
 *
 * @param recentServices services that were submitted lately, to any job owner
 */
class GracefulEviction(
    private val settings: Settings,
    private val operator: OperatorSettings,
    private val machines: MachineRegistry,
    private val instances: ProvisionedInstances,
    private val records: EvictionRecords,
    private val scaleIn: ScaleIn,
    private val recentServices: () -> List<ResourceRequest>,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")

    /** Within so long after its record is stored, all controllers have heard of an eviction. */
    private val propagationMs = settings.heartbeatIntervalMs + settings.leaseMs / 10
    private val evictions = HashMap<String, Eviction>()

    /** Until when machines are exempt from eviction, after one of them was cancelled. */
    private val exemptUntil = HashMap<String, Long>()
    private var termBeganAt = 0L
    private var lastConsolidationAt = 0L

    /** Starts as the fleet manager: goes on with the evictions of its predecessor. */
    fun beginTerm(now: Long) {
        termBeganAt = now
        evictions.clear()
        for (name in records.names()) evictions[name] = Eviction(now, EvictionState.EVICTING)
    }

    /** Looks at all machines, given the tasks that find no free capacity. */
    fun review(
        resourceRequests: List<ResourceRequest>,
        now: Long,
    ) {
        for (machine in machines.byName.values) {
            val hasReported = machine.incarnation != 0L
            if (!machine.deleted && hasReported) review(machine, resourceRequests, now)
        }
        evictions.keys.removeIf { it in machines.deletedNames }
        records.reconcile(evictions.keys, now)
        val isSettled = now - termBeganAt > settings.leaseMs * 2
        val isDue = now - lastConsolidationAt > machines.bootMs(null) / CONSOLIDATIONS_PER_BOOT
        if (resourceRequests.isEmpty() && isSettled && isDue) {
            lastConsolidationAt = now
            consolidate(now)
        }
    }

    private fun review(
        machine: Machine,
        resourceRequests: List<ResourceRequest>,
        now: Long,
    ) {
        val eviction = evictions[machine.name]
        when {
            !isEmpty(machine) -> reviewUsed(machine, eviction, resourceRequests, now)
            eviction != null -> deleteWhenKnown(machine, eviction, now)
            else -> evictIfIdle(machine, now)
        }
    }

    private fun reviewUsed(
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
        } else if (now - eviction.beganAt > machines.bootMs(machine.type) * EVICTION_TIMEOUT_BOOTS) {
            cancel(machine, now, "its tasks did not leave in time")
        }
    }

    /** A controller that has not heard of the eviction may still start a task on the machine: it is deleted only after that. */
    private fun deleteWhenKnown(
        machine: Machine,
        eviction: Eviction,
        now: Long,
    ) {
        eviction.transitionTo(EvictionState.EMPTY, now)
        val isKnownToAll = now - eviction.stateSince > propagationMs && records.has(machine.name)
        if (isKnownToAll) scaleIn.request(machine.name)
    }

    private fun evictIfIdle(
        machine: Machine,
        now: Long,
    ) {
        val idleMs =
            if (machine.hasSpotNotice) 0L else (machines.bootMs(machine.type) * operator.fleetIdleBoots).toLong()
        if (now - maxOf(machine.busyAt, termBeganAt) > idleMs) evict(machine, now, EvictionState.EMPTY, "idle")
    }

    private fun isEmpty(machine: Machine): Boolean {
        val used = machine.used
        val hasNoTasks = machine.tasks.all { it.isEnded } && machine.attempts.isEmpty()
        return hasNoTasks && used.cores < EPSILON && used.gpus < EPSILON && used.memoryGb < EPSILON
    }

    private fun mayRunOn(
        request: ResourceRequest,
        machine: Machine,
    ): Boolean {
        val isTypeAllowed = request.types.isEmpty() || machine.type in request.types
        val isZoneAllowed = request.zones.isEmpty() || machine.zone in request.zones
        return isTypeAllowed && isZoneAllowed && (!machine.isSpot || request.isSpot)
    }

    /** Evicts some machines whose tasks fit on others. */
    private fun consolidate(now: Long) {
        val inService = machines.byName.values.filter { isInService(it, now) }
        val evicting =
            evictions
                .filterValues { it.state == EvictionState.EVICTING }
                .keys
                .mapNotNull { machines.of(it) }
                .filter { !it.deleted }
        val concurrent = maxOf(MIN_CONCURRENT_EVICTIONS, (inService.size * MAX_EVICTING_SHARE).toInt())
        val limit = concurrent - evicting.size
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
        return isPastMinimumCharge && (exemptUntil[machine.name] ?: 0L) < now
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
        exemptUntil[machine.name] = now + machines.bootMs(machine.type) * EXEMPTION_BOOTS
        log.info("eviction of machine {} cancelled: {}", machine.name, reason)
        records.delete(machine.name)
    }

    private companion object {
        /** Below this, used resources are rounding errors of sums. */
        const val EPSILON = 1e-6

        /** The cloud charges for a machine for at least so long. */
        const val MIN_CHARGE_MS = 60_000L

        /** Machines that may be evicted at once: so many, or this share of those in service if that is more. */
        const val MIN_CONCURRENT_EVICTIONS = 2
        const val MAX_EVICTING_SHARE = 0.25

        /** How often in a boot time machines to evict are looked for. */
        const val CONSOLIDATIONS_PER_BOOT = 6

        /** After so many boot times an eviction is cancelled, and for so many the machine is exempt afterwards. */
        const val EVICTION_TIMEOUT_BOOTS = 4
        const val EXEMPTION_BOOTS = 2
    }
}
