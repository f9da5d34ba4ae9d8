package micatally.scheduling

import micatally.settings.Settings
import micatally.wire.JobSpec
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/**
 * The machines that placement may choose from, and the pending resource requests for which capacity is reserved.
 *
 * @param peerRequests returns the resource requests that the other controllers could not place; called once per cycle
 */
class ClusterView(
    private val settings: Settings,
    val machines: MachineRegistry,
    private val peerRequests: () -> List<ResourceRequest>,
) {
    val turns = ControllerTurns(settings)

    /** The resource requests of other controllers' services that found no free capacity. */
    var peerServiceRequests: List<ResourceRequest> = emptyList()
        private set
    private var peerGangRequests: List<ResourceRequest> = emptyList()

    /** The requests of this controller's gangs that found no free capacity in the current pass over the jobs. */
    private val ownGangRequests = ArrayList<ResourceRequest>()

    /** The machines that had free capacity when the cycle began; null outside a cycle. */
    private var available: AvailableMachines? = null

    /**
     * The usable machines that had free cores, and among them those that had free GPUs, when the cycle began. With a
     * full fleet and many pending jobs, searching all machines for each job would take nearly all the time of a cycle.
     */
    private class AvailableMachines(
        val withFreeCores: List<Machine>,
        val withFreeGpus: List<Machine>,
    )

    /** Reserves capacity for a gang of this controller until [clearOwnGangRequests]. */
    fun addOwnGangRequest(request: ResourceRequest) {
        ownGangRequests.add(request)
    }

    /** Drops the requests of this controller's gangs. Called at the start of each pass over the jobs. */
    fun clearOwnGangRequests() = ownGangRequests.clear()

    /**
     * Returns the pending requests with a more important priority than [priority] for which free capacity is reserved.
     * A task of this priority must not use free capacity in which a task of one of these requests fits.
     *
     * Capacity is reserved for services of other controllers and for gangs of all controllers. Without this, single
     * tasks would take each piece of freed capacity, and a gang would never find enough of it at once.
     */
    fun reservingRequests(priority: Int): List<ResourceRequest> =
        (peerServiceRequests + peerGangRequests + ownGangRequests).filter { it.priority < priority }

    /** Records the machines with free capacity and the peers' requests. The cycle uses these until [endCycle]. */
    fun beginCycle(now: Long) {
        val requests = peerRequests()
        peerServiceRequests = requests.filter { it.isService }
        peerGangRequests = requests.filter { it.isGang }
        val withFreeCores =
            machines.byName.values.filter { isUsable(it, now) && freeCapacityOf(it).cores > Resources.SLACK }
        val withFreeGpus = withFreeCores.filter { freeCapacityOf(it).gpus > Resources.SLACK }
        available = AvailableMachines(withFreeCores, withFreeGpus)
    }

    /** Drops the list of machines with free capacity. */
    fun endCycle() {
        available = null
    }

    private fun freeCapacityOf(machine: Machine): Resources =
        machines.total(machine)?.let { it - machine.used } ?: Resources.NONE

    /** The machines to consider for a task of this job. Some of them may not be usable, see [isUsable]. */
    fun candidatesFor(spec: JobSpec): Collection<Machine> {
        val availableInCycle = available
        if (availableInCycle == null || spec.resources.cores <= 0) return machines.byName.values
        return if (spec.resources.gpus > 0) availableInCycle.withFreeGpus else availableInCycle.withFreeCores
    }

    /**
     * Whether tasks may be placed on the machine now. Considers only the state of the machine, not its free capacity
     * nor what the job allows.
     */
    fun isUsable(
        machine: Machine,
        now: Long,
    ): Boolean = unusableReason(machine, now) == null

    /** Why no task may be placed on the machine now; null if it [isUsable]. */
    private fun unusableReason(
        machine: Machine,
        now: Long,
    ): UnusableReason? =
        when {
            machine.deleted -> UnusableReason.DELETED
            machine.draining -> UnusableReason.DRAINING
            machine.hasSpotNotice -> UnusableReason.SPOT_NOTICE
            machine.incarnation == 0L || machine.addr.isEmpty() -> UnusableReason.STATUS_UNKNOWN
            now - machine.heardAt >= settings.leaseMs / 2 + settings.heartbeatIntervalMs -> UnusableReason.SILENT
            now < machine.channel.unreachableUntilMs -> UnusableReason.UNREACHABLE
            now < machine.fullUntil -> UnusableReason.REFUSED_TASK
            machine.isListFull -> UnusableReason.LIST_FULL
            now < machine.health.excludedUntil -> UnusableReason.FAULTY
            else -> null
        }

    /** The number of known machines on which no task may be placed now, by reason. */
    fun countUnusable(now: Long): Map<UnusableReason, Int> =
        machines.byName.values
            .mapNotNull { unusableReason(it, now) }
            .groupingBy { it }
            .eachCount()
            .toSortedMap()

    /**
     * Whether the request allows the type and the zone of the machine and, if it is a spot instance, spot instances.
     */
    fun mayUse(
        request: ResourceRequest,
        machine: Machine,
    ): Boolean {
        val isType = request.types.isEmpty() || machine.type in request.types
        val isZone = request.zones.isEmpty() || machine.zone in request.zones
        return isType && isZone && (!machine.isSpot || request.isSpot)
    }
}
