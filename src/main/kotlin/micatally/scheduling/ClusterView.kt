package micatally.scheduling

import micatally.settings.Settings
import micatally.wire.JobSpec
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/**
 * The machines as placement sees them, and the pending requests that it has to respect.
 *
 * @param peerRequests gives the resource requests that other controllers could not place; called once in each cycle
 */
class ClusterView(
    private val settings: Settings,
    val machines: MachineRegistry,
    private val peerRequests: () -> List<ResourceRequest>,
) {
    val turns = ControllerTurns(settings)

    /** Services of other controllers that found no free capacity. */
    var peerServiceRequests: List<ResourceRequest> = emptyList()
        private set
    private var peerGangRequests: List<ResourceRequest> = emptyList()

    /** Gangs of this controller that found no free capacity in the present pass over the jobs. */
    private val ownGangRequests = ArrayList<ResourceRequest>()

    /** The machines that had free capacity when the cycle began; null outside a cycle. */
    private var available: AvailableMachines? = null

    /**
     * With a full fleet and many pending jobs, searching all machines for each of them would take nearly all the time of a
     * cycle.
     */
    private class AvailableMachines(
        val withFreeCores: List<Machine>,
        val withFreeGpus: List<Machine>,
    )

    fun addOwnGangRequest(request: ResourceRequest) {
        ownGangRequests.add(request)
    }

    fun clearOwnGangRequests() = ownGangRequests.clear()

    /**
     * The requests that are more important than [priority] and for which free capacity is reserved: tasks of this priority leave
     * capacity alone that one of them fits in. They are services of other controllers, and gangs, whose capacity single tasks
     * would otherwise fill again before there is enough of it.
     */
    fun requestsBefore(priority: Int): List<ResourceRequest> =
        (peerServiceRequests + peerGangRequests + ownGangRequests).filter { it.priority < priority }

    /** Takes the state of the machines and of the peers' requests on which the cycle decides. */
    fun beginCycle(now: Long) {
        val requests = peerRequests()
        peerServiceRequests = requests.filter { it.isService }
        peerGangRequests = requests.filter { it.isGang }
        val withFreeCores =
            machines.byName.values.filter { isUsable(it, now) && freeCapacityOf(it).cores > Resources.SLACK }
        val withFreeGpus = withFreeCores.filter { freeCapacityOf(it).gpus > Resources.SLACK }
        available = AvailableMachines(withFreeCores, withFreeGpus)
    }

    fun endCycle() {
        available = null
    }

    private fun freeCapacityOf(machine: Machine): Resources =
        machines.total(machine)?.let { it - machine.used } ?: Resources.NONE

    /** The machines that are worth a look for a task of this job. Not all of them need be usable. */
    fun candidatesFor(spec: JobSpec): Collection<Machine> {
        val inCycle = available
        if (inCycle == null || spec.resources.cores <= 0) return machines.byName.values
        return if (spec.resources.gpus > 0) inCycle.withFreeGpus else inCycle.withFreeCores
    }

    /** Whether tasks may be placed on the machine now, as far as its own condition goes. */
    fun isUsable(
        machine: Machine,
        now: Long,
    ): Boolean {
        val isLeaving = machine.deleted || machine.draining || machine.hasSpotNotice
        val hasReported = machine.incarnation > 0 && machine.addr.isNotEmpty()
        val isHeardFrom = now - machine.heardAt < settings.leaseMs / 2 + settings.heartbeatIntervalMs
        if (isLeaving || !hasReported || !isHeardFrom) return false
        return now >= machine.channel.unreachableUntilMs && now >= machine.fullUntil &&
            now >= machine.health.excludedUntil
    }

    /** Whether the machine is of a type and in a zone that the request names, and no unwanted spot instance. */
    fun mayUse(
        request: ResourceRequest,
        machine: Machine,
    ): Boolean {
        val isType = request.types.isEmpty() || machine.type in request.types
        val isZone = request.zones.isEmpty() || machine.zone in request.zones
        return isType && isZone && (!machine.isSpot || request.isSpot)
    }
}
