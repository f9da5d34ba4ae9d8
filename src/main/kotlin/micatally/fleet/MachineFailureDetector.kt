package micatally.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.settings.Settings
import micatally.wire.Heartbeat
import micatally.wire.MalformedMessage
import micatally.wire.parseObject
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/**
 * Machines that nobody hears any more. Deleting one is the proof that its tasks are gone; while a whole zone is silent, a cut is
 * likelier than so many ends, and waiting costs less.
 *
 * @param silentZones where controllers are that can't be heard: they may hear their zone's workers and can't say so
 */
class MachineFailureDetector(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val instances: ProvisionedInstances,
    private val unreachableZones: () -> Set<String>,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val probing = HashSet<String>()
    private val probeAfterMs = maxOf(settings.heartbeatIntervalMs * 2, settings.leaseMs / 4)
    private val probeTimeoutMs = settings.leaseMs / 16
    private var controllerUnreachableAt = Long.MIN_VALUE / 2

    /** How many machines of a zone were heard lately, how many were not, and those that were not for long. */
    private class ZoneView {
        var responsive = 0
        var unresponsive = 0
        val unreachable = ArrayList<Machine>()
    }

    /** Names of the machines to delete. [since] is when this node began to look after the fleet. */
    fun findFailed(
        now: Long,
        termBeganAt: Long,
    ): List<String> {
        // While a node can't be heard, its workers may be looking for another, or it may hear them and can't say so.
        val zonesOfUnreachable = unreachableZones()
        if (zonesOfUnreachable.isNotEmpty()) controllerUnreachableAt = now
        val zones = classifyByZone(now, termBeganAt)
        return findPoweredOff(zones, now) + findUnreachable(zones, zonesOfUnreachable, now, termBeganAt)
    }

    private fun classifyByZone(
        now: Long,
        termBeganAt: Long,
    ): Map<String, ZoneView> {
        val unreachableMs =
            if (now - controllerUnreachableAt <
                settings.leaseMs * 3 / 2
            ) {
                settings.leaseMs * 5 / 2
            } else {
                settings.leaseMs
            }
        val hungMachineMs = settings.leaseMs * 2
        val zones = HashMap<String, ZoneView>()
        for (machine in machines.byName.values) {
            val instance = instances.of(machine.name)
            if (machine.deleted || instance != null && !instance.isUp) continue
            val zone = zones.getOrPut(machine.zone) { ZoneView() }
            val silentForMs = now - maxOf(machine.heardAt, termBeganAt, instance?.provisionedAtMs ?: 0L)
            if (silentForMs > probeAfterMs) {
                probe(machine, now)
                zone.unresponsive++
            } else {
                zone.responsive++
            }
            // A machine that takes connections and says nothing hangs and may go on soon: its tasks are lost by then, but
            // not its images, and those take longer to fetch than the wait.
            val acceptsConnections = now - machine.connectedAt < settings.leaseMs / 2
            if (silentForMs >
                if (acceptsConnections) maxOf(unreachableMs, hungMachineMs) else unreachableMs
            ) {
                zone.unreachable.add(machine)
            }
        }
        return zones
    }

    /**
     * Nothing answers on them, not even their system, while the rest of their zone is heard and reached from here. When two zones
     * lose each other, the other one's machines look just the same, but none of them is reached. Waiting for the lease to end
     * would only keep the replicas away for longer.
     */
    private fun findPoweredOff(
        zones: Map<String, ZoneView>,
        now: Long,
    ): List<String> {
        val poweredOff = machines.byName.values.filter { it.dark > 0 && !it.deleted }
        for (zone in poweredOff.mapTo(HashSet()) { it.zone }) probeResponsiveMachine(zone, now)
        val confirmed =
            poweredOff.filter { machine ->
                val zone = zones[machine.zone]
                val isZoneReached = now - machines.reachedAt(machine.zone) < settings.heartbeatIntervalMs
                val isZoneResponsive = (zone?.unresponsive ?: 0) <= (zone?.responsive ?: 0)
                machine.dark >= MIN_HUNG_CONNECTIONS && isZoneReached && isZoneResponsive &&
                    now - machine.heardAt > probeAfterMs
            }
        for (machine in confirmed) log.info("machine {} accepts no connections and counts as powered off", machine.name)
        return confirmed.map { it.name }
    }

    /** With few workers here nothing may have come for a while: one that is heard is asked, to see whether this node reaches any. */
    private fun probeResponsiveMachine(
        zone: String,
        now: Long,
    ) {
        if (now - machines.reachedAt(zone) <= settings.heartbeatIntervalMs / 2) return
        val responsiveMachine =
            machines.byName.values.firstOrNull {
                it.zone == zone && !it.deleted && it.dark == 0 && now - it.heardAt < probeAfterMs
            }
        if (responsiveMachine != null) probe(responsiveMachine, now)
    }

    private fun findUnreachable(
        zones: Map<String, ZoneView>,
        zonesOfUnreachable: Set<String>,
        now: Long,
        termBeganAt: Long,
    ): List<String> =
        zones.flatMap { (name, zone) ->
            // Few machines tell little, but when the zone's controller is silent with them, that is a cut too.
            val isPartitioned =
                zone.unreachable.size >= zone.responsive &&
                    (zone.unreachable.size >= MIN_PARTITIONED_MACHINES || name in zonesOfUnreachable)
            val longestMs = settings.leadershipMs + settings.leaseMs * 2
            zone.unreachable
                .filter {
                    !isPartitioned || now -
                        maxOf(
                            it.heardAt,
                            termBeganAt,
                        ) > longestMs
                }.map { it.name }
        }

    /** Asks a silent machine itself. What it answers counts as heard. */
    private fun probe(
        machine: Machine,
        now: Long,
    ) {
        val isTooSoon =
            machine.addr.isEmpty() || probing.size >= settings.maxConcurrentProbes ||
                now - machine.probedAt < probeTimeoutMs
        if (isTooSoon || !probing.add(machine.name)) return
        machine.probedAt = now
        scope.launch {
            try {
                probeAnswered(machine, http.call(machine.addr, "GET", "/show", null, probeTimeoutMs), nowMs() - now)
            } catch (e: MalformedMessage) {
                log.info("machine {} answered a probe with a malformed heartbeat: {}", machine.name, e.message)
            } finally {
                probing.remove(machine.name)
            }
        }
    }

    private fun probeAnswered(
        machine: Machine,
        outcome: Outcome,
        tookMs: Long,
    ) {
        when (outcome) {
            is Outcome.Answer ->
                if (outcome.status == 200) {
                    machine.mute = 0
                    machine.dark = 0
                    machines.apply(Heartbeat.parse(parseObject(outcome.body)), false)
                }
            // The first one may have gone into a connection from before; the second has made one.
            Outcome.Silence, Outcome.TooLarge -> {
                machine.dark = 0
                if (++machine.mute >= 2) machine.connectedAt = nowMs()
            }
            // A refusal comes at once; a connection that hangs takes the whole time.
            Outcome.NotSent -> {
                machine.mute = 0
                if (tookMs >= probeTimeoutMs * 9 / 10) machine.dark++ else machine.dark = 0
            }
        }
    }

    private companion object {
        /** Connections in a row that have to hang. */
        const val MIN_HUNG_CONNECTIONS = 3

        /** So many silent machines of a zone look like a cut. */
        const val MIN_PARTITIONED_MACHINES = 3
    }
}
