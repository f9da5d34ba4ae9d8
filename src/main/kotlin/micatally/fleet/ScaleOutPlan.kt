package micatally.fleet

import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.Resources

/**
 * A machine on which tasks are planned: either one that is booting, or one that the plan adds.
 *
 * @property free the resources that are left after the tasks planned so far
 */
class PlannedMachine(
    val offer: Offer,
    var free: Resources,
)

/**
 * Decides which machines to provision for tasks that find no free capacity. It only computes and does no I/O. Each
 * instance is used for one plan.
 *
 * Tasks are first placed on the machines that are booting. For the rest, the plan adds machines of the offer with the
 * lowest cost per task.
 *
 * @param pending machines that are booting; the plan appends the machines that it adds
 * @param existing the number of machines by type and zone, including booting ones
 * @param limit the largest number of machines that the plan adds
 */
class ScaleOutPlan(
    private val machineTypes: Collection<MachineType>,
    private val conditions: OfferConditions,
    private val pending: MutableList<PlannedMachine>,
    existing: Map<TypeInZone, Int>,
    private val limit: Int,
) {
    /** The number of machines that the plan adds, by offer. */
    private val planned = LinkedHashMap<Offer, Int>()
    private val machinesByTypeInZone = HashMap(existing)
    private val resourcesByType = machineTypes.associate { it.label to it.resources }

    /** The requests with tasks for which no offer is available. */
    val unmet = ArrayList<ResourceRequest>()

    /** The number of tasks of each shape, over all jobs, that are still to be planned. */
    private val remainingByShape = HashMap<TaskShape, Int>()

    /** Returns the number of machines to provision by offer, in the order of the decisions. */
    fun plan(resourceRequests: List<ResourceRequest>): Map<Offer, Int> {
        for (request in resourceRequests) remainingByShape.merge(TaskShape(request), request.count, Int::plus)
        // At the same priority, tasks with GPUs are planned first: tasks without GPUs can then use the cores left on
        // their machines.
        for (request in resourceRequests.sortedWith(compareBy({ it.priority }, { -it.gpus }))) {
            planFor(Placement(request))
            remainingByShape.merge(TaskShape(request), -request.count, Int::plus)
        }
        return planned
    }

    /** Places the tasks of one resource request, first on booting and planned machines, then on new ones. */
    private fun planFor(placement: Placement) {
        for (machine in pending) {
            if (placement.isDone) break
            placement.fill(machine)
        }
        while (!placement.isDone && planned.values.sum() < limit) {
            val offer = cheapestOffer(placement)
            if (offer == null) {
                unmet.add(placement.request)
                break
            }
            placement.fill(add(offer))
        }
    }

    /** Adds an empty machine of the offer to the plan. */
    private fun add(offer: Offer): PlannedMachine {
        val machine = PlannedMachine(offer, machineTypes.first { it.label == offer.type }.resources)
        planned.merge(offer, 1, Int::plus)
        machinesByTypeInZone.merge(offer.typeInZone, 1, Int::plus)
        pending.add(machine)
        return machine
    }

    /**
     * The offer with the lowest cost per task; null if no offer is available. Among offers of the same cost, the first
     * one wins in the order of the machine types, then of their zones, then spot before on-demand.
     */
    private fun cheapestOffer(placement: Placement): Offer? {
        var cheapest: Offer? = null
        var lowestCost = Double.MAX_VALUE
        for (type in machineTypes) {
            val tasksPerMachine = placement.tasksPerMachine(type)
            if (tasksPerMachine == 0) continue
            for (offer in offersOf(type, placement)) {
                val cost = cost(offer, type, tasksPerMachine, placement)
                if (cost < lowestCost) {
                    cheapest = offer
                    lowestCost = cost
                }
            }
        }
        return cheapest
    }

    /**
     * The available offers of the machine type: allowed for the request, not turned down recently, in a zone that may
     * take more tasks.
     */
    private fun offersOf(
        type: MachineType,
        placement: Placement,
    ): List<Offer> {
        val spotChoices = if (placement.request.isSpot) listOf(true, false) else listOf(false)
        return type.zones
            .flatMap { zone -> spotChoices.map { isSpot -> Offer(type.label, zone, isSpot) } }
            .filter { placement.isAllowed(it) && !conditions.isRefused(it) && placement.hasZoneCapacity(it.zone) }
    }

    /**
     * The cost per task if all remaining tasks of this shape, over all jobs, shared whole machines of the offer.
     * Weighted so that zones are balanced and slowly booting machines are avoided.
     */
    private fun cost(
        offer: Offer,
        type: MachineType,
        tasksPerMachine: Int,
        placement: Placement,
    ): Double {
        val taskCount = maxOf(placement.remaining, remainingByShape[placement.shape] ?: 0)
        return type.price(offer.isSpot) * Math.ceil(taskCount.toDouble() / tasksPerMachine) / taskCount *
            (1 + (machinesByTypeInZone[offer.typeInZone] ?: 0) * ZONE_BALANCE_WEIGHT) *
            (1 + (conditions.slowness(offer) - 1) * SLOWNESS_WEIGHT)
    }

    /**
     * What a task needs from a machine. Tasks of the same shape from several jobs are counted together, since they may
     * fill a machine that would be too large for the tasks of one job.
     */
    private data class TaskShape(
        val task: Resources,
        val types: List<String>,
        val isSpot: Boolean,
    ) {
        constructor(request: ResourceRequest) : this(
            Resources(request.cores, request.gpus, request.memoryGb),
            request.types,
            request.isSpot,
        )
    }

    /** The tasks of one resource request while they are placed on machines. */
    private inner class Placement(
        val request: ResourceRequest,
    ) {
        val shape = TaskShape(request)
        private val task = shape.task

        /** How many more of the tasks each zone may take; null if there is no limit. */
        private val remainingByZone =
            if (request.zoneLimits.isEmpty()) null else request.zones.zip(request.zoneLimits).toMap(HashMap())

        /**
         * Whether cores are reserved for free GPUs. They are not if, with the reservation, the task fits on no machine
         * type that it may use; otherwise it would wait forever.
         */
        private val reservesCores =
            machineTypes.any { type ->
                val isTypeAllowed = request.types.isEmpty() || type.label in request.types
                isTypeAllowed && task.countIn(withoutReservedCores(type.resources, type.resources)) > 0
            }

        /** The number of tasks that are not placed yet. */
        var remaining = request.count
            private set

        val isDone get() = remaining <= 0

        /** Whether the zone may take another of the tasks. */
        fun hasZoneCapacity(zone: String) = remainingByZone == null || (remainingByZone[zone] ?: 0) > 0

        /** Whether the request allows the type and the zone of the offer, and spot instances if it is one. */
        fun isAllowed(offer: Offer): Boolean {
            val isTypeAllowed = request.types.isEmpty() || offer.type in request.types
            val isZoneAllowed = request.zones.isEmpty() || offer.zone in request.zones
            return isTypeAllowed && isZoneAllowed && (!offer.isSpot || request.isSpot)
        }

        /** The number of the tasks that fit on an empty machine of the type. */
        fun tasksPerMachine(type: MachineType): Int = task.countIn(usable(type.resources, type.resources))

        /** Places as many of the tasks on the machine as fit. */
        fun fill(machine: PlannedMachine) {
            val offer = machine.offer
            if (!isAllowed(offer)) return
            val total = resourcesByType[offer.type] ?: return
            while (remaining > 0 && hasZoneCapacity(offer.zone) && task.fitsIn(usable(machine.free, total))) {
                machine.free = machine.free - task
                remaining--
                remainingByZone?.merge(offer.zone, -1, Int::plus)
            }
        }

        /** The part of the free resources that the tasks may use. */
        private fun usable(
            free: Resources,
            total: Resources,
        ) = if (reservesCores) withoutReservedCores(free, total) else free

        /**
         * The free resources without the cores that the machine's free GPUs will need. Only tasks without GPUs have to
         * leave those cores.
         */
        private fun withoutReservedCores(
            free: Resources,
            total: Resources,
        ): Resources {
            if (task.gpus > 0 || total.gpus <= 0) return free
            return Resources(
                free.cores - free.gpus * total.cores / total.gpus * RESERVED_CORES_SHARE,
                0.0,
                free.memoryGb,
            )
        }
    }

    private companion object {
        /**
         * The added cost, as a share, for each existing machine of the type in the zone. It decides between zones of
         * equal cost.
         */
        const val ZONE_BALANCE_WEIGHT = 1e-3

        /**
         * An offer whose machines boot n times slower than nominal is rated (n - 1) times this share more expensive.
         */
        const val SLOWNESS_WEIGHT = 0.25

        /**
         * The share of the cores that is reserved for each free GPU, relative to an even distribution of the cores over
         * the GPUs.
         */
        const val RESERVED_CORES_SHARE = 0.7
    }
}
