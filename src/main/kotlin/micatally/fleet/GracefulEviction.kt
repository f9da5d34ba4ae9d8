package micatally.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Operator
import micatally.settings.Settings
import micatally.state.Compare
import micatally.state.Delete
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.Urgency
import micatally.state.Write
import micatally.wire.ResourceRequest
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** EVICTING: no new tasks, the owners move what they can. EMPTY: nothing on it; deleted once all know of the eviction. */
private enum class EvictionState { EVICTING, EMPTY }

/** Takes machines out of service that stand idle, or whose tasks others have room for. */
class GracefulEviction(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
    private val machines: MachineRegistry,
    private val instances: ProvisionedInstances,
    private val scaleIn: ScaleIn,
    private val recentServices: () -> List<ResourceRequest>,
    private val operator: Operator,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")

    private class Eviction(
        val beganAt: Long,
        state: EvictionState,
    ) {
        var state = state
            private set
        var stateSince = beganAt
            private set

        /** The one place where an eviction changes its state. */
        fun transitionTo(
            next: EvictionState,
            now: Long,
        ) {
            if (next == state) return
            state = next
            stateSince = now
        }
    }

    private val evictions = HashMap<String, Eviction>()
    private val exemptUntil = HashMap<String, Long>()
    private var beganAt = 0L
    private var lastConsolidationAt = 0L
    private var lastReconciledAt = 0L
    private var mismatchedKeys: Set<String> = emptySet()

    fun beginTerm() {
        beganAt = nowMs()
        evictions.clear()
        for (item in sharedKeys.under(Keys.DRAIN)) {
            evictions[item.key.removePrefix(Keys.DRAIN)] =
                Eviction(beganAt, EvictionState.EVICTING)
        }
    }

    /** Looks at all machines, given what finds no room at present. */
    fun review(
        resourceRequests: List<ResourceRequest>,
        now: Long,
    ) {
        for (machine in machines.byName.values) {
            if (!machine.deleted &&
                machine.incarnation != 0L
            ) {
                review(machine, resourceRequests, now)
            }
        }
        evictions.keys.removeIf { it in machines.deletedNames }
        reconcile(now)
        val isSettled = now - beganAt > settings.leaseMs * 2
        if (resourceRequests.isEmpty() && isSettled &&
            now - lastConsolidationAt > machines.bootMs(null) / CONSOLIDATIONS_PER_BOOT
        ) {
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
        if (!isEmpty(machine)) {
            machine.busyAt = now
            if (eviction == null || machine.hasSpotNotice) return
            eviction.transitionTo(EvictionState.EVICTING, now)
            if (resourceRequests.any { isAllowedOn(it, machine) }) {
                cancelEviction(machine, now, "unplaced tasks may run on it")
            } else if (now - eviction.beganAt > machines.bootMs(machine.type) * EVICTION_TIMEOUT_BOOTS) {
                cancelEviction(machine, now, "its tasks did not leave in time")
            }
            return
        }
        if (eviction != null) {
            eviction.transitionTo(EvictionState.EMPTY, now)
            val isKnownToAll =
                now - eviction.stateSince > settings.heartbeatIntervalMs + settings.leaseMs / 10 &&
                    sharedKeys.has(Keys.DRAIN + machine.name)
            if (isKnownToAll) scaleIn.request(machine.name)
            return
        }
        val idleMs =
            if (machine.hasSpotNotice) {
                0L
            } else {
                (
                    machines.bootMs(
                        machine.type,
                    ) * operator.fleetIdleBoots
                ).toLong()
            }
        if (now - maxOf(machine.busyAt, beganAt) > idleMs) evict(machine, now, EvictionState.EMPTY, "idle")
    }

    private fun isEmpty(machine: Machine): Boolean {
        val used = machine.used
        return machine.tasks.all { it.isEnded } && machine.attempts.isEmpty() && used.cores < EPSILON &&
            used.gpus < EPSILON &&
            used.memoryGb < EPSILON
    }

    private fun isAllowedOn(
        request: ResourceRequest,
        machine: Machine,
    ): Boolean {
        val isType = request.types.isEmpty() || machine.type in request.types
        val isZone = request.zones.isEmpty() || machine.zone in request.zones
        return isType && isZone && (!machine.isSpot || request.isSpot)
    }

    private fun consolidate(now: Long) {
        val inService =
            machines.byName.values.filter { machine ->
                val isInService =
                    !machine.deleted && !machine.hasSpotNotice && machine.incarnation > 0 && machine.name !in evictions
                isInService && now - machine.heardAt < settings.leaseMs / 2
            }
        val evicting =
            evictions
                .filterValues {
                    it.state == EvictionState.EVICTING
                }.keys
                .mapNotNull { machines.of(it) }
                .filter { !it.deleted }
        val limit = maxOf(MIN_CONCURRENT_EVICTIONS, (inService.size * MAX_EVICTING_SHARE).toInt()) - evicting.size
        if (limit <= 0) return
        val plan =
            ConsolidationPlan(inService, evicting, machines.machineTypes, recentServices(), operator.fleetHeadroom)
        for (selection in plan.select(
            limit,
        ) { mayEvict(it, now) }) {
            evict(selection.machine, now, EvictionState.EVICTING, selection.reason)
        }
    }

    private fun mayEvict(
        machine: Machine,
        now: Long,
    ): Boolean {
        val isMinimumBilled = now - (instances.of(machine.name)?.provisionedAtMs ?: 0L) > MIN_BILLED_MS
        return isMinimumBilled && (exemptUntil[machine.name] ?: 0L) < now
    }

    private fun evictionRecord(name: String) = Put(Keys.DRAIN + name, buildJsonObject { put("by", settings.host) })

    private fun evict(
        machine: Machine,
        now: Long,
        state: EvictionState,
        reason: String,
    ) {
        evictions[machine.name] = Eviction(now, state)
        log.info("evicting machine {}: {}", machine.name, reason)
        launchTransaction { Transaction(emptyList(), listOf(evictionRecord(machine.name))) }
    }

    private fun cancelEviction(
        machine: Machine,
        now: Long,
        reason: String,
    ) {
        evictions.remove(machine.name)
        exemptUntil[machine.name] = now + machines.bootMs(machine.type) * EXEMPTION_BOOTS
        log.info("eviction of machine {} cancelled: {}", machine.name, reason)
        launchTransaction { Transaction(emptyList(), listOf(Delete(Keys.DRAIN + machine.name))) }
    }

    private fun launchTransaction(build: () -> Transaction?) {
        scope.launch { state.transact(1, Urgency.SUMMARY, build) }
    }

    /**
     * An eviction or its end may have got no answer, and may be carried out late or never: what the key says is brought to what was
     * decided last. A machine that is drained by mistake gets no work though jobs wait for it.
     */
    private fun reconcile(now: Long) {
        if (now - lastReconciledAt < settings.leaseMs / 4) return
        lastReconciledAt = now
        val listed = sharedKeys.under(Keys.DRAIN)
        val names = listed.mapTo(HashSet()) { it.key.removePrefix(Keys.DRAIN) }
        val unexpected = listed.filter { it.key.removePrefix(Keys.DRAIN) !in evictions }
        val missing = evictions.keys.filter { it !in names }
        // Only what was off at the last look too: the usual write is under way.
        for (item in unexpected) {
            if (item.key in
                mismatchedKeys
            ) {
                launchTransaction { conditional(item.key, item.modRevision, Delete(item.key)) }
            }
        }
        for (name in missing) {
            val key = Keys.DRAIN + name
            if (key in
                mismatchedKeys
            ) {
                launchTransaction {
                    if (name in
                        evictions
                    ) {
                        conditional(key, 0, evictionRecord(name))
                    } else {
                        null
                    }
                }
            }
        }
        mismatchedKeys = unexpected.mapTo(HashSet()) { it.key } + missing.map { Keys.DRAIN + it }
    }

    private fun conditional(
        key: String,
        modRevision: Long,
        change: Write,
    ) = Transaction(listOf(Compare(key, modRevision)), listOf(change))

    private companion object {
        const val EPSILON = 1e-6

        /** The protocol charges a machine for so long at least. */
        const val MIN_BILLED_MS = 60_000L

        /** Machines being emptied at once: at least so many, or a share of those that are up; looked for so often in a boot. */
        const val MIN_CONCURRENT_EVICTIONS = 2
        const val MAX_EVICTING_SHARE = 0.25
        const val CONSOLIDATIONS_PER_BOOT = 6

        /** A machine that does not empty in so many boots is kept, and one that is kept is left alone for some. */
        const val EVICTION_TIMEOUT_BOOTS = 4
        const val EXEMPTION_BOOTS = 2
    }
}
