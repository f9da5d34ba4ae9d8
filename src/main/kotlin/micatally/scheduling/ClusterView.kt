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
) {
    private val hosts = (settings.peers.map { it.host } + settings.host).sorted()
    private val ownIndex = hosts.indexOf(settings.host)
    private val turnMs = settings.heartbeatIntervalMs / TURNS_A_REPORT

    /** Services of other owners that found no room. */
    var peerServices: List<ResourceRequest> = emptyList()
        private set

    /** Gangs that found no room, of other owners and, in the present round, of this one. */
    private var foreignGangs: List<ResourceRequest> = emptyList()
    private val ownGangs = ArrayList<ResourceRequest>()

    fun gangWaits(demand: ResourceRequest) {
        ownGangs.add(demand)
    }

    fun forgetOwnGangs() = ownGangs.clear()

    /**
     * Whoever starts now leaves the room alone that more important waiters of this list fit in: a service of another owner,
     * or a gang, whose room would otherwise be filled again by single tasks before there is enough of it.
     */
    fun waitersBefore(priority: Int): List<ResourceRequest> =
        (peerServices + foreignGangs + ownGangs).filter { it.priority < priority }

    /**
     * Machines with anything free, as this round found them, and those of them with cards free: with a full fleet and many
     * waiters the search through all machines for each was nearly all that a round did. Null outside a round.
     */
    private var open: List<Machine>? = null
    private var openWithCards: List<Machine> = emptyList()

    fun beginCycle(
        peerRequests: List<ResourceRequest>,
        now: Long,
    ) {
        peerServices = peerRequests.filter { it.service }
        foreignGangs = peerRequests.filter { it.isGang }
        val usable = machines.byName.values.filter { isUsable(it, now) && freeOf(it).cores > Resources.SLACK }
        open = usable
        openWithCards = usable.filter { freeOf(it).gpus > Resources.SLACK }
    }

    fun endCycle() {
        open = null
    }

    private fun freeOf(m: Machine): Resources = machines.total(m)?.let { it - m.used } ?: Resources.NONE

    /** The machines worth a look for a task of this job. */
    fun among(spec: JobSpec): Collection<Machine> {
        val inRound = open?.takeIf { spec.resources.cores > 0 } ?: return machines.byName.values
        return if (spec.resources.gpus > 0) openWithCards else inRound
    }

    fun isUsable(
        m: Machine,
        now: Long,
    ): Boolean {
        val isInService = !m.deleted && !m.draining && !m.hasSpotNotice && m.incarnation > 0 && m.addr.isNotEmpty()
        val isHeard = now - m.heardAt < settings.leaseMs / 2 + settings.heartbeatIntervalMs
        return isInService && isHeard && now >= m.channel.unreachableUntilMs && now >= m.fullUntil &&
            now >= m.health.excludedUntil
    }

    /**
     * Owners see the same free room and would all choose it, and the worker refuses all but one. So each has its turn at
     * a machine: first the one whose task left the room, then the others in an order of the machine's own.
     */
    fun turn(m: Machine): Int {
        if (m.freedBy == null) return 0
        val order = Math.floorMod(m.name.hashCode() - ownIndex, hosts.size)
        return if (m.freedBy == Machine.NOBODY) order else order + 1
    }

    fun hasTurn(
        m: Machine,
        now: Long,
    ) = now >= m.freedAt + turn(m) * turnMs

    /** Whether it is this owner's turn to do what all of them could do, in turns of this length. */
    fun isOwnTurn(
        now: Long,
        lengthMs: Long,
    ) = (now / lengthMs % hosts.size).toInt() == ownIndex

    val controllers get() = hosts.size

    fun mayUse(
        demand: ResourceRequest,
        m: Machine,
    ): Boolean {
        val isType = demand.types.isEmpty() || m.type in demand.types
        val isZone = demand.zones.isEmpty() || m.zone in demand.zones
        return isType && isZone && (!m.spot || demand.spot)
    }

    private companion object {
        const val TURNS_A_REPORT = 4
    }
}
