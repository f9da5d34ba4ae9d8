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

/** EMPTYING: no new tasks, the owners move what they can. EMPTY: nothing on it; deleted once all know of the drain. */
private enum class EvictionState { EMPTYING, EMPTY }

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
        val since: Long,
        state: EvictionState,
    ) {
        var state = state
            private set
        var stateSince = since
            private set

        /** The one place where a drain changes its state. */
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
    private val keptUntil = HashMap<String, Long>()
    private var since = 0L
    private var lastEmptying = 0L
    private var reconciledAt = 0L
    private var keysOff: Set<String> = emptySet()

    fun beginTerm() {
        since = nowMs()
        evictions.clear()
        for (item in sharedKeys.under(Keys.DRAIN)) {
            evictions[item.key.removePrefix(Keys.DRAIN)] =
                Eviction(since, EvictionState.EMPTYING)
        }
    }

    /** Looks at all machines, given what finds no room at present. */
    fun review(
        demands: List<ResourceRequest>,
        now: Long,
    ) {
        for (m in machines.byName.values) if (!m.deleted && m.incarnation != 0L) review(m, demands, now)
        evictions.keys.removeIf { it in machines.deletedNames }
        reconcile(now)
        val isSettled = now - since > settings.leaseMs * 2
        if (demands.isEmpty() && isSettled && now - lastEmptying > machines.bootMs(null) / EMPTYING_A_BOOT) {
            lastEmptying = now
            emptySome(now)
        }
    }

    private fun review(
        m: Machine,
        demands: List<ResourceRequest>,
        now: Long,
    ) {
        val drain = evictions[m.name]
        if (!isEmpty(m)) {
            m.busyAt = now
            if (drain == null || m.hasSpotNotice) return
            drain.transitionTo(EvictionState.EMPTYING, now)
            if (demands.any { isAllowedOn(it, m) }) {
                keep(m, now, "there is demand for it")
            } else if (now - drain.since > machines.bootMs(m.type) * EMPTYING_BOOTS) {
                keep(m, now, "it does not empty")
            }
            return
        }
        if (drain != null) {
            drain.transitionTo(EvictionState.EMPTY, now)
            val isKnown =
                now - drain.stateSince > settings.heartbeatIntervalMs + settings.leaseMs / 10 &&
                    sharedKeys.has(Keys.DRAIN + m.name)
            if (isKnown) scaleIn.want(m.name)
            return
        }
        val idleMs = if (m.hasSpotNotice) 0L else (machines.bootMs(m.type) * operator.fleetIdleBoots).toLong()
        if (now - maxOf(m.busyAt, since) > idleMs) drain(m, now, EvictionState.EMPTY, "idle")
    }

    private fun isEmpty(m: Machine): Boolean {
        val u = m.used
        return m.tasks.all { it.isEnded } && m.attempts.isEmpty() && u.cores < EPSILON && u.gpus < EPSILON &&
            u.memoryGb < EPSILON
    }

    private fun isAllowedOn(
        d: ResourceRequest,
        m: Machine,
    ): Boolean {
        val isType = d.types.isEmpty() || m.type in d.types
        val isZone = d.zones.isEmpty() || m.zone in d.zones
        return isType && isZone && (!m.isSpot || d.isSpot)
    }

    private fun emptySome(now: Long) {
        val up =
            machines.byName.values.filter { m ->
                val isInService = !m.deleted && !m.hasSpotNotice && m.incarnation > 0 && m.name !in evictions
                isInService && now - m.heardAt < settings.leaseMs / 2
            }
        val leaving =
            evictions
                .filterValues {
                    it.state == EvictionState.EMPTYING
                }.keys
                .mapNotNull { machines.of(it) }
                .filter { !it.deleted }
        val most = maxOf(EMPTYING_AT_ONCE, (up.size * EMPTYING_SHARE).toInt()) - leaving.size
        if (most <= 0) return
        val plan = ConsolidationPlan(up, leaving, machines.machineTypes, recentServices(), operator.fleetHeadroom)
        for (choice in plan.choose(
            most,
        ) { mayEmpty(it, now) }) {
            drain(choice.machine, now, EvictionState.EMPTYING, choice.reason)
        }
    }

    private fun mayEmpty(
        m: Machine,
        now: Long,
    ): Boolean {
        val isPaidFor = now - (instances.of(m.name)?.provisionedAtMs ?: 0L) > MIN_CHARGE_MS
        return isPaidFor && (keptUntil[m.name] ?: 0L) < now
    }

    private fun drainOf(name: String) = Put(Keys.DRAIN + name, buildJsonObject { put("by", settings.host) })

    private fun drain(
        m: Machine,
        now: Long,
        to: EvictionState,
        reason: String,
    ) {
        evictions[m.name] = Eviction(now, to)
        log.info("machine {} is being drained: {}", m.name, reason)
        write { Transaction(emptyList(), listOf(drainOf(m.name))) }
    }

    private fun keep(
        m: Machine,
        now: Long,
        reason: String,
    ) {
        evictions.remove(m.name)
        keptUntil[m.name] = now + machines.bootMs(m.type) * KEPT_BOOTS
        log.info("machine {} kept: {}", m.name, reason)
        write { Transaction(emptyList(), listOf(Delete(Keys.DRAIN + m.name))) }
    }

    private fun write(build: () -> Transaction?) {
        scope.launch { state.transact(1, Urgency.SUMMARY, build) }
    }

    /**
     * A drain or its end may have got no answer, and may be carried out late or never: what the key says is brought to what was
     * decided last. A machine that is drained by mistake gets no work though jobs wait for it.
     */
    private fun reconcile(now: Long) {
        if (now - reconciledAt < settings.leaseMs / 4) return
        reconciledAt = now
        val listed = sharedKeys.under(Keys.DRAIN)
        val names = listed.mapTo(HashSet()) { it.key.removePrefix(Keys.DRAIN) }
        val surplus = listed.filter { it.key.removePrefix(Keys.DRAIN) !in evictions }
        val missing = evictions.keys.filter { it !in names }
        // Only what was off at the last look too: the usual write is under way.
        for (item in surplus) {
            if (item.key in keysOff) write { conditional(item.key, item.modRevision, Delete(item.key)) }
        }
        for (name in missing) {
            val key = Keys.DRAIN + name
            if (key in keysOff) write { if (name in evictions) conditional(key, 0, drainOf(name)) else null }
        }
        keysOff = surplus.mapTo(HashSet()) { it.key } + missing.map { Keys.DRAIN + it }
    }

    private fun conditional(
        key: String,
        modRevision: Long,
        change: Write,
    ) = Transaction(listOf(Compare(key, modRevision)), listOf(change))

    private companion object {
        const val EPSILON = 1e-6

        /** The protocol charges a machine for so long at least. */
        const val MIN_CHARGE_MS = 60_000L

        /** Machines being emptied at once: at least so many, or a share of those that are up; looked for so often in a boot. */
        const val EMPTYING_AT_ONCE = 2
        const val EMPTYING_SHARE = 0.25
        const val EMPTYING_A_BOOT = 6

        /** A machine that does not empty in so many boots is kept, and one that is kept is left alone for some. */
        const val EMPTYING_BOOTS = 4
        const val KEPT_BOOTS = 2
    }
}
