package micatally.fleet

import micatally.settings.Settings
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/**
 * Finds machines that have failed. Deleting one is the termination evidence for its tasks. While a whole zone is unreachable, a
 * network partition is likelier than so many failures, and waiting costs less than deleting.
 *
 * @param unreachableZones zones of controllers that can't be reached: these may hear their zone's workers and be unable to say so
 */
class MachineFailureDetector(
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val instances: ProvisionedInstances,
    private val prober: MachineProber,
    private val unreachableZones: () -> Set<String>,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val probeAfterMs = maxOf(settings.heartbeatIntervalMs * 2, settings.leaseMs / 4)

    /** After how long without a heartbeat a machine may be deleted: usually, when it hangs, when a controller was unreachable within
     * [controllerMemoryMs], and when its zone is cut off by a network partition. */
    private val unreachableMs = settings.leaseMs
    private val hungMs = settings.leaseMs * 2
    private val controllerLostMs = settings.leaseMs * 5 / 2
    private val partitionMs = settings.leadershipMs + settings.leaseMs * 2
    private val controllerMemoryMs = settings.leaseMs * 3 / 2

    /** When some controller was last unreachable. */
    private var controllerUnreachableAt = Long.MIN_VALUE / 2

    /** The machines of a zone by how long they have not been heard from. */
    private class ZoneView {
        var responsive = 0
        var unresponsive = 0

        /** Those of the unresponsive ones that have not been heard from for so long that they may be deleted. */
        val unreachable = ArrayList<Machine>()
    }

    /**
     * Names of the machines to delete; some twice, if more than one reason holds. Starts probes of unresponsive machines.
     *
     * @param termBeganAt when this process became the fleet manager; earlier silence does not count
     */
    fun findFailed(
        now: Long,
        termBeganAt: Long,
    ): List<String> {
        // While a controller can't be reached, its workers may be looking for another, or it may hear them and can't say so.
        val zonesOfUnreachable = unreachableZones()
        if (zonesOfUnreachable.isNotEmpty()) controllerUnreachableAt = now
        val zones = classifyByZone(now, termBeganAt)
        return findPoweredOff(zones, now) + findUnreachable(zones, zonesOfUnreachable, now, termBeganAt)
    }

    private fun classifyByZone(
        now: Long,
        termBeganAt: Long,
    ): Map<String, ZoneView> {
        val zones = HashMap<String, ZoneView>()
        for (machine in machines.byName.values) {
            val instance = instances.of(machine.name)
            val isBooting = instance != null && !instance.isUp
            if (machine.deleted || isBooting) continue
            val zone = zones.getOrPut(machine.zone) { ZoneView() }
            val silentForMs = now - maxOf(machine.heardAt, termBeganAt, instance?.provisionedAtMs ?: 0L)
            if (silentForMs > probeAfterMs) {
                prober.probe(machine, now)
                zone.unresponsive++
            } else {
                zone.responsive++
            }
            if (silentForMs > unreachableAfterMs(machine, now)) zone.unreachable.add(machine)
        }
        return zones
    }

    /** After how long without a heartbeat the machine may be deleted. */
    private fun unreachableAfterMs(
        machine: Machine,
        now: Long,
    ): Long {
        val wasControllerUnreachable = now - controllerUnreachableAt < controllerMemoryMs
        val usualMs = if (wasControllerUnreachable) controllerLostMs else unreachableMs
        // A machine that accepts connections and does not answer hangs and may go on soon: its tasks are lost by then, but not
        // its images, and fetching those takes longer than the wait.
        val isHung = now - machine.unansweredConnectionAt < settings.leaseMs / 2
        return if (isHung) maxOf(usualMs, hungMs) else usualMs
    }

    /**
     * Machines of which not even the operating system accepts connections, while the rest of their zone is heard and reached from
     * here. When two zones lose each other, the other zone's machines look just the same, but none of them is reached. Waiting for
     * the lease to expire would only keep the replicas down for longer.
     */
    private fun findPoweredOff(
        zones: Map<String, ZoneView>,
        now: Long,
    ): List<String> {
        val suspected = machines.byName.values.filter { it.hungConnections > 0 && !it.deleted }
        for (zone in suspected.mapTo(HashSet()) { it.zone }) probeResponsiveMachine(zone, now)
        val poweredOff = suspected.filter { isPoweredOff(it, zones[it.zone], now) }
        for (machine in poweredOff) {
            log.info(
                "machine {} accepts no connections and counts as powered off",
                machine.name,
            )
        }
        return poweredOff.map { it.name }
    }

    private fun isPoweredOff(
        machine: Machine,
        zone: ZoneView?,
        now: Long,
    ): Boolean {
        val isZoneReached = now - machines.reachedAt(machine.zone) < settings.heartbeatIntervalMs
        val isZoneResponsive = zone == null || zone.unresponsive <= zone.responsive
        val isUnresponsive = now - machine.heardAt > probeAfterMs
        return machine.hungConnections >= MIN_HUNG_CONNECTIONS && isZoneReached && isZoneResponsive && isUnresponsive
    }

    /** With few workers here, none may have reported for a while: one that is responsive is probed, to see whether any is reached. */
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

    private fun findUnreachable(
        zones: Map<String, ZoneView>,
        zonesOfUnreachable: Set<String>,
        now: Long,
        termBeganAt: Long,
    ): List<String> =
        zones.flatMap { (name, zone) ->
            // Few machines are weak evidence, but when the zone's controller is unreachable with them, that is a partition too.
            val isEvident = zone.unreachable.size >= MIN_PARTITIONED_MACHINES || name in zonesOfUnreachable
            val isPartitioned = isEvident && zone.unreachable.size >= zone.responsive
            zone.unreachable
                .filter { !isPartitioned || now - maxOf(it.heardAt, termBeganAt) > partitionMs }
                .map { it.name }
        }

    private companion object {
        /** Connections that have to hang in a row. */
        const val MIN_HUNG_CONNECTIONS = 3

        /** So many unreachable machines of a zone look like a network partition. */
        const val MIN_PARTITIONED_MACHINES = 3
    }
}
