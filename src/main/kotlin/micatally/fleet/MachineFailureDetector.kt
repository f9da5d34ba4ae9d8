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
import micatally.worker.StatusSource
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
    private val silentZones: () -> Set<String>,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val probing = HashSet<String>()
    private val probeAfterMs = maxOf(settings.heartbeatIntervalMs * 2, settings.leaseMs / 4)
    private val probeMs = settings.leaseMs / 16
    private var contactLostAt = Long.MIN_VALUE / 2

    /** How many machines of a zone were heard lately, how many were not, and those that were not for long. */
    private class ZoneView {
        var heard = 0
        var quiet = 0
        val silent = ArrayList<Machine>()
    }

    /** Names of the machines to delete. [since] is when this node began to look after the fleet. */
    fun find(
        now: Long,
        since: Long,
    ): List<String> {
        // While a node can't be heard, its workers may be looking for another, or it may hear them and can't say so.
        val zonesOfSilentNodes = silentZones()
        if (zonesOfSilentNodes.isNotEmpty()) contactLostAt = now
        val zones = look(now, since)
        return withoutPower(zones, now) + silentOnes(zones, zonesOfSilentNodes, now, since)
    }

    private fun look(
        now: Long,
        since: Long,
    ): Map<String, ZoneView> {
        val silentMs =
            if (now - contactLostAt <
                settings.leaseMs * 3 / 2
            ) {
                settings.leaseMs * 5 / 2
            } else {
                settings.leaseMs
            }
        val hungMs = settings.leaseMs * 2
        val zones = HashMap<String, ZoneView>()
        for (m in machines.byName.values) {
            val instance = instances.of(m.name)
            if (m.deleted || instance != null && !instance.isUp) continue
            val zone = zones.getOrPut(m.zone) { ZoneView() }
            val silence = now - maxOf(m.heardAt, since, instance?.provisionedAtMs ?: 0L)
            if (silence > probeAfterMs) {
                probe(m, now)
                zone.quiet++
            } else {
                zone.heard++
            }
            // A machine that takes connections and says nothing hangs and may go on soon: its tasks are lost by then, but
            // not its images, and those take longer to fetch than the wait.
            val isHung = now - m.connectedAt < settings.leaseMs / 2
            if (silence > if (isHung) maxOf(silentMs, hungMs) else silentMs) zone.silent.add(m)
        }
        return zones
    }

    /**
     * Nothing answers on them, not even their system, while the rest of their zone is heard and reached from here. When two zones
     * lose each other, the other one's machines look just the same, but none of them is reached. Waiting for the lease to end
     * would only keep the replicas away for longer.
     */
    private fun withoutPower(
        zones: Map<String, ZoneView>,
        now: Long,
    ): List<String> {
        val dark = machines.byName.values.filter { it.dark > 0 && !it.deleted }
        for (zone in dark.mapTo(HashSet()) { it.zone }) probeHealthyOne(zone, now)
        val lost =
            dark.filter { m ->
                val zone = zones[m.zone]
                val isZoneReached = now - machines.reachedAt(m.zone) < settings.heartbeatIntervalMs
                val isZoneHeard = (zone?.quiet ?: 0) <= (zone?.heard ?: 0)
                m.dark >= DARK && isZoneReached && isZoneHeard && now - m.heardAt > probeAfterMs
            }
        for (m in lost) log.info("machine {} has no power", m.name)
        return lost.map { it.name }
    }

    /** With few workers here nothing may have come for a while: one that is heard is asked, to see whether this node reaches any. */
    private fun probeHealthyOne(
        zone: String,
        now: Long,
    ) {
        if (now - machines.reachedAt(zone) <= settings.heartbeatIntervalMs / 2) return
        val healthy =
            machines.byName.values.firstOrNull {
                it.zone == zone && !it.deleted && it.dark == 0 && now - it.heardAt < probeAfterMs
            }
        if (healthy != null) probe(healthy, now)
    }

    private fun silentOnes(
        zones: Map<String, ZoneView>,
        zonesOfSilentNodes: Set<String>,
        now: Long,
        since: Long,
    ): List<String> =
        zones.flatMap { (name, zone) ->
            // Few machines tell little, but when the zone's controller is silent with them, that is a cut too.
            val isCut = zone.silent.size >= zone.heard && (zone.silent.size >= MANY || name in zonesOfSilentNodes)
            val mostMs = settings.leadershipMs + settings.leaseMs * 2
            zone.silent.filter { !isCut || now - maxOf(it.heardAt, since) > mostMs }.map { it.name }
        }

    /** Asks a silent machine itself. What it answers counts as heard. */
    private fun probe(
        m: Machine,
        now: Long,
    ) {
        val isTooSoon = m.addr.isEmpty() || probing.size >= settings.maxConcurrentProbes || now - m.probedAt < probeMs
        if (isTooSoon || !probing.add(m.name)) return
        m.probedAt = now
        scope.launch {
            try {
                probed(m, http.call(m.addr, "GET", "/show", null, probeMs), nowMs() - now)
            } catch (e: MalformedMessage) {
                log.info("machine {} answers what is no report: {}", m.name, e.message)
            } finally {
                probing.remove(m.name)
            }
        }
    }

    private fun probed(
        m: Machine,
        out: Outcome,
        tookMs: Long,
    ) {
        when (out) {
            is Outcome.Answer ->
                if (out.status == 200) {
                    m.mute = 0
                    m.dark = 0
                    machines.apply(Heartbeat.parse(parseObject(out.body)), StatusSource.HEARTBEAT)
                }
            // The first one may have gone into a connection from before; the second has made one.
            Outcome.Silence, Outcome.TooLarge -> {
                m.dark = 0
                if (++m.mute >= 2) m.connectedAt = nowMs()
            }
            // A refusal comes at once; a connection that hangs takes the whole time.
            Outcome.NotSent -> {
                m.mute = 0
                if (tookMs >= probeMs * 9 / 10) m.dark++ else m.dark = 0
            }
        }
    }

    private companion object {
        /** Connections in a row that have to hang. */
        const val DARK = 3

        /** So many silent machines of a zone look like a cut. */
        const val MANY = 3
    }
}
