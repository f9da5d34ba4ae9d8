package micatally.scheduling

import micatally.settings.Settings
import micatally.wire.JobSpec
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.worker.Machine
import micatally.worker.MachineRegistry

/** The machines as placement looks at them, and what other owners wait for. */
class ClusterView(
    private val settings: Settings,
    val machines: MachineRegistry,
    private val peerRequests: () -> List<ResourceRequest>,
) {
    private val controllerHosts = (settings.peers.map { it.host } + settings.host).sorted()
    private val ownIndex = controllerHosts.indexOf(settings.host)
    private val turnMs = settings.heartbeatIntervalMs / TURNS_PER_HEARTBEAT

    /** Services of other owners that found no room. */
    var peerServiceRequests: List<ResourceRequest> = emptyList()
        private set

    /** Gangs that found no room, of other owners and, in the present round, of this one. */
    private var peerGangRequests: List<ResourceRequest> = emptyList()
    private val ownGangRequests = ArrayList<ResourceRequest>()

    fun addOwnGangRequest(request: ResourceRequest) {
        ownGangRequests.add(request)
    }

    fun clearOwnGangRequests() = ownGangRequests.clear()

    /**
     * Whoever starts now leaves the room alone that more important waiters of this list fit in: a service of another owner,
     * or a gang, whose room would otherwise be filled again by single tasks before there is enough of it.
     */
    fun requestsBefore(priority: Int): List<ResourceRequest> =
        (peerServiceRequests + peerGangRequests + ownGangRequests).filter { it.priority < priority }

    /**
     * Machines with anything free, as this round found them, and those of them with cards free: with a full fleet and many
     * waiters the search through all machines for each was nearly all that a round did. Null outside a round.
     */
    private var machinesWithFreeCores: List<Machine>? = null
    private var machinesWithFreeGpus: List<Machine> = emptyList()

    fun beginCycle(now: Long) {
        val requests = peerRequests()
        peerServiceRequests = requests.filter { it.service }
        peerGangRequests = requests.filter { it.isGang }
        val usable = machines.byName.values.filter { isUsable(it, now) && freeCapacityOf(it).cores > Resources.SLACK }
        machinesWithFreeCores = usable
        machinesWithFreeGpus = usable.filter { freeCapacityOf(it).gpus > Resources.SLACK }
    }

    fun endCycle() {
        machinesWithFreeCores = null
    }

    private fun freeCapacityOf(machine: Machine): Resources =
        machines.total(machine)?.let { it - machine.used } ?: Resources.NONE

    /** The machines worth a look for a task of this job. */
    fun candidatesFor(spec: JobSpec): Collection<Machine> {
        val inCycle = machinesWithFreeCores?.takeIf { spec.resources.cores > 0 } ?: return machines.byName.values
        return if (spec.resources.gpus > 0) machinesWithFreeGpus else inCycle
    }

    fun isUsable(
        machine: Machine,
        now: Long,
    ): Boolean {
        val isInService =
            !machine.deleted && !machine.draining && !machine.hasSpotNotice && machine.incarnation > 0 &&
                machine.addr.isNotEmpty()
        val isHeardFrom = now - machine.heardAt < settings.leaseMs / 2 + settings.heartbeatIntervalMs
        return isInService && isHeardFrom && now >= machine.unreachableUntil && now >= machine.fullUntil &&
            now >= machine.health.excludedUntil
    }

    /**
     * Owners see the same free room and would all choose it, and the worker refuses all but one. So each has its turn at
     * a machine: first the one whose task left the room, then the others in an order of the machine's own.
     */
    fun turnOf(machine: Machine): Int {
        if (machine.freedBy == null) return 0
        val order = Math.floorMod(machine.name.hashCode() - ownIndex, controllerHosts.size)
        return if (machine.freedBy == Machine.NOBODY) order else order + 1
    }

    fun hasTurn(
        machine: Machine,
        now: Long,
    ) = now >= machine.freedAt + turnOf(machine) * turnMs

    /** Whether it is this owner's turn to do what all of them could do, in turns of this length. */
    fun isOwnTurn(
        now: Long,
        lengthMs: Long,
    ) = (now / lengthMs % controllerHosts.size).toInt() == ownIndex

    val controllerCount get() = controllerHosts.size

    fun mayUse(
        request: ResourceRequest,
        machine: Machine,
    ): Boolean {
        val isType = request.types.isEmpty() || machine.type in request.types
        val isZone = request.zones.isEmpty() || machine.zone in request.zones
        return isType && isZone && (!machine.spot || request.spot)
    }

    private companion object {
        const val TURNS_PER_HEARTBEAT = 4
    }
}
