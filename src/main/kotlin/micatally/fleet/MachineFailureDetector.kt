package micatally.fleet

import micatally.settings.Settings
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** A machine that counts as failed, and why. */
class FailedMachine(
    val name: String,
    val reason: DeletionReason,
)

/**
 * Finds failed machines. The deletion of such a machine is the termination evidence for its tasks. If a whole zone is
 * unreachable, a network partition is likelier than the failure of all its machines. The detector then waits longer,
 * since waiting costs less than deleting them.
 *
 * @param unreachableZones zones of the controllers that can't be reached; these may receive heartbeats from the workers
 * of their zone without being able to forward them
 */
class MachineFailureDetector(
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val instances: ProvisionedInstances,
    private val prober: MachineProber,
    private val unreachableZones: () -> Set<String>,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")

    /** A machine is probed after this long without a heartbeat, in milliseconds. */
    private val probeAfterMs = maxOf(settings.heartbeatIntervalMs * 2, settings.leaseMs / 4)

    /** After this long without a heartbeat a machine may be deleted in the usual case, in milliseconds. */
    private val usualSilenceLimitMs = settings.leaseMs

    /**
     * The limit, in milliseconds, for a machine that accepts connections but does not respond, unless the usual one is
     * longer.
     */
    private val hungSilenceLimitMs = settings.leaseMs * 2

    /**
     * The usual limit, in milliseconds, while a controller is unreachable and for [controllerOutageMemoryMs]
     * afterwards.
     */
    private val controllerOutageSilenceLimitMs = settings.leaseMs * 5 / 2

    /** The limit, in milliseconds, for the machines of a zone that a network partition seems to have cut off. */
    private val partitionSilenceLimitMs = settings.leadershipMs + settings.leaseMs * 2

    /**
     * [controllerOutageSilenceLimitMs] applies until this long after a controller was last unreachable, in
     * milliseconds.
     */
    private val controllerOutageMemoryMs = settings.leaseMs * 3 / 2

    /** When a controller was last unreachable, in milliseconds. */
    private var controllerUnreachableAtMs = Long.MIN_VALUE / 2

    /** The machines of a zone, classified by the time since their last heartbeat. */
    private class ZoneView {
        /** The number of machines that have sent a heartbeat recently. */
        var responsive = 0

        /** The number of machines that have been silent for long enough to be probed. */
        var unresponsive = 0

        /** The unresponsive machines that have been silent for long enough to be deleted. */
        val unreachable = ArrayList<Machine>()
    }

    /**
     * Returns the machines to delete. A machine occurs twice if two reasons hold. Also starts probes of unresponsive
     * machines.
     *
     * @param observedSinceMs since when this process has observed the machines; silence before that does not count
     */
    fun findFailed(
        now: Long,
        observedSinceMs: Long,
    ): List<FailedMachine> {
        // While a controller is unreachable, its workers may be looking for another one, or it may receive their
        // heartbeats without being able to forward them.
        val zonesOfUnreachableControllers = unreachableZones()
        if (zonesOfUnreachableControllers.isNotEmpty()) controllerUnreachableAtMs = now
        val zones = classifyByZone(now, observedSinceMs)
        return findPoweredOff(zones, now, observedSinceMs) +
            findUnreachable(zones, zonesOfUnreachableControllers, now, observedSinceMs)
    }

    /** Classifies the machines of each zone and starts probes of unresponsive ones. Booting machines are left out. */
    private fun classifyByZone(
        now: Long,
        observedSinceMs: Long,
    ): Map<String, ZoneView> {
        val zones = HashMap<String, ZoneView>()
        for (machine in machines.byName.values) {
            val instance = instances.of(machine.name)
            val isBooting = instance != null && !instance.isUp
            if (machine.deleted || isBooting) continue
            val zone = zones.getOrPut(machine.zone) { ZoneView() }
            val silentForMs = now - maxOf(machine.heardAt, observedSinceMs, instance?.provisionedAtMs ?: 0L)
            if (silentForMs > probeAfterMs) {
                prober.probe(machine, now)
                zone.unresponsive++
            } else {
                zone.responsive++
            }
            if (silentForMs > silenceLimitMs(machine, now)) zone.unreachable.add(machine)
        }
        return zones
    }

    /** After how long without a heartbeat the machine may be deleted, in milliseconds. */
    private fun silenceLimitMs(
        machine: Machine,
        now: Long,
    ): Long {
        val wasControllerUnreachable = now - controllerUnreachableAtMs < controllerOutageMemoryMs
        val usualMs = if (wasControllerUnreachable) controllerOutageSilenceLimitMs else usualSilenceLimitMs
        // A machine that accepts connections but does not respond hangs, and may resume soon. Its tasks are lost by
        // then, but its images are not, and pulling those again takes longer than the wait.
        val isHung = now - machine.unansweredConnectionAt < settings.leaseMs / 2
        return if (isHung) maxOf(usualMs, hungSilenceLimitMs) else usualMs
    }

    /**
     * Finds machines whose operating system accepts no connections, while the rest of their zone sends heartbeats and
     * is reached from here. The second condition rules out a partition between two zones: the machines of the other
     * zone look the same then, but none of them is reached. A powered-off machine is deleted before the lease expires,
     * since waiting for that would only keep its replicas down for longer.
     */
    private fun findPoweredOff(
        zones: Map<String, ZoneView>,
        now: Long,
        observedSinceMs: Long,
    ): List<FailedMachine> {
        val suspected = machines.byName.values.filter { it.hungConnections > 0 && !it.deleted }
        for (zone in suspected.mapTo(HashSet()) { it.zone }) probeResponsiveMachine(zone, now)
        val poweredOff = suspected.filter { isPoweredOff(it, zones[it.zone], now, observedSinceMs) }
        for (machine in poweredOff) {
            log.info(
                "machine {} accepts no connections and counts as powered off",
                machine.name,
            )
        }
        return poweredOff.map { FailedMachine(it.name, DeletionReason.POWERED_OFF) }
    }

    private fun isPoweredOff(
        machine: Machine,
        zone: ZoneView?,
        now: Long,
        observedSinceMs: Long,
    ): Boolean {
        val isZoneReached = now - machines.reachedAt(machine.zone) < settings.heartbeatIntervalMs
        val isZoneResponsive = zone == null || zone.unresponsive <= zone.responsive
        val isUnresponsive = now - maxOf(machine.heardAt, observedSinceMs) > probeAfterMs
        return machine.hungConnections >= MIN_HUNG_CONNECTIONS && isZoneReached && isZoneResponsive && isUnresponsive
    }

    /**
     * Probes one responsive machine of the zone if no worker of the zone has contacted this controller lately. This
     * shows whether the zone is reached from here: a controller with few workers may not have received a heartbeat from
     * the zone for a while.
     */
    private fun probeResponsiveMachine(
        zone: String,
        now: Long,
    ) {
        if (now - machines.reachedAt(zone) <= settings.heartbeatIntervalMs / 2) return
        val responsive = machines.byName.values.firstOrNull { it.zone == zone && isResponsive(it, now) }
        if (responsive != null) prober.probe(responsive, now)
    }

    private fun isResponsive(
        machine: Machine,
        now: Long,
    ) = !machine.deleted && machine.hungConnections == 0 && now - machine.heardAt < probeAfterMs

    /**
     * The machines that have been silent for too long. In a zone that looks partitioned, the limit is
     * [partitionSilenceLimitMs].
     */
    private fun findUnreachable(
        zones: Map<String, ZoneView>,
        zonesOfUnreachableControllers: Set<String>,
        now: Long,
        observedSinceMs: Long,
    ): List<FailedMachine> =
        zones.flatMap { (name, zone) ->
            // A few unreachable machines don't show a partition, unless a controller in their zone is unreachable as
            // well.
            val mayBePartition =
                zone.unreachable.size >= MIN_PARTITIONED_MACHINES || name in zonesOfUnreachableControllers
            val isPartitioned = mayBePartition && zone.unreachable.size >= zone.responsive
            zone.unreachable
                .filter { !isPartitioned || now - maxOf(it.heardAt, observedSinceMs) > partitionSilenceLimitMs }
                .map { FailedMachine(it.name, DeletionReason.SILENT) }
        }

    private companion object {
        /** A machine may count as powered off after this many hung connections in a row. */
        const val MIN_HUNG_CONNECTIONS = 3

        /** A zone may count as partitioned from this many unreachable machines on. */
        const val MIN_PARTITIONED_MACHINES = 3
    }
}
