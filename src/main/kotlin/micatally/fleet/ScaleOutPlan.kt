package micatally.fleet

import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.Resources

/**
 * A machine that tasks may be planned on: one that is booting, or one that the plan adds.
 *
 * @property free what planned tasks leave of it; planning lowers it
 */
class PlannedMachine(
    val offer: Offer,
    var free: Resources,
)

/**
 * Which machines to provision for tasks that find no free capacity. Decisions only: no I/O. Each instance plans once.
 *
 * Tasks are put on the machines that are booting first, then on offers picked by the cost of what each would carry.
 *
 * @param pending machines that are booting; planned machines are added to it
 * @param existing how many machines there are by type and zone, booting ones included
 * @param limit how many machines the plan may add
 */
class ScaleOutPlan(
    private val machineTypes: Collection<MachineType>,
    private val market: Market,
    private val pending: MutableList<PlannedMachine>,
    existing: Map<TypeInZone, Int>,
    private val limit: Int,
) {
    private val planned = LinkedHashMap<Offer, Int>()
    private val machinesByTypeInZone = HashMap(existing)
    private val resourcesByType = machineTypes.associate { it.label to it.resources }

    /** How many tasks of each shape are still to be planned, for all jobs together. */
    private val remainingByShape = HashMap<TaskShape, Int>()

    /** The number of machines to provision by offer, in the order in which they were decided. */
    fun plan(resourceRequests: List<ResourceRequest>): Map<Offer, Int> {
        for (request in resourceRequests) remainingByShape.merge(TaskShape(request), request.count, Int::plus)
        // Tasks with GPUs come before others of their priority: what they leave of their machines serves those without.
        for (request in resourceRequests.sortedWith(compareBy({ it.priority }, { -it.gpus }))) {
            planFor(Placement(request))
            remainingByShape.merge(TaskShape(request), -request.count, Int::plus)
        }
        return planned
    }

    private fun planFor(placement: Placement) {
        for (machine in pending) {
            if (placement.isDone) break
            placement.fill(machine)
        }
        while (!placement.isDone && planned.values.sum() < limit) {
            val offer = cheapestOffer(placement) ?: break
            placement.fill(add(offer))
        }
    }

    private fun add(offer: Offer): PlannedMachine {
        val machine = PlannedMachine(offer, machineTypes.first { it.label == offer.type }.resources)
        planned.merge(offer, 1, Int::plus)
        machinesByTypeInZone.merge(offer.typeInZone, 1, Int::plus)
        pending.add(machine)
        return machine
    }

    /** Of several offers at the same cost, the first in the order of the machine types, their zones, and spot before ordinary. */
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

    private fun offersOf(
        type: MachineType,
        placement: Placement,
    ): List<Offer> {
        val spotChoices = if (placement.request.isSpot) listOf(true, false) else listOf(false)
        return type.zones
            .flatMap { zone -> spotChoices.map { isSpot -> Offer(type.label, zone, isSpot) } }
            .filter { placement.isAllowed(it) && !market.isRefused(it) && placement.hasZoneCapacity(it.zone) }
    }

    /** Cost per task, with all tasks of the shape, of whichever job, sharing whole machines of the offer. */
    private fun cost(
        offer: Offer,
        type: MachineType,
        tasksPerMachine: Int,
        placement: Placement,
    ): Double {
        val taskCount = maxOf(placement.remaining, remainingByShape[placement.shape] ?: 0)
        return type.price(offer.isSpot) * Math.ceil(taskCount.toDouble() / tasksPerMachine) / taskCount *
            (1 + (machinesByTypeInZone[offer.typeInZone] ?: 0) * ZONE_BALANCE_WEIGHT) *
            (1 + (market.slowness(offer) - 1) * SLOWNESS_WEIGHT)
    }

    /** Tasks of one shape, of whichever job: together they may fill a machine that would be too large for one job's. */
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

    /** The tasks of one resource request while they are planned on machines. */
    private inner class Placement(
        val request: ResourceRequest,
    ) {
        val shape = TaskShape(request)
        private val task = shape.task

        /** How many more of the tasks each zone may take; null: any number. */
        private val remainingByZone =
            if (request.zoneLimits.isEmpty()) null else request.zones.zip(request.zoneLimits).toMap(HashMap())

        /** A task that is too large for what the GPUs' cores leave, on every type that it may use, would wait forever: it is
         * planned as if no cores were reserved. */
        private val reservesCores =
            machineTypes.any { type ->
                val isTypeAllowed = request.types.isEmpty() || type.label in request.types
                isTypeAllowed && task.countIn(withoutReservedCores(type.resources, type.resources)) > 0
            }

        /** How many tasks are not on any machine yet. */
        var remaining = request.count
            private set

        val isDone get() = remaining <= 0

        fun hasZoneCapacity(zone: String) = remainingByZone == null || (remainingByZone[zone] ?: 0) > 0

        fun isAllowed(offer: Offer): Boolean {
            val isTypeAllowed = request.types.isEmpty() || offer.type in request.types
            val isZoneAllowed = request.zones.isEmpty() || offer.zone in request.zones
            return isTypeAllowed && isZoneAllowed && (!offer.isSpot || request.isSpot)
        }

        /** How many of the tasks an empty machine of the type takes. */
        fun tasksPerMachine(type: MachineType): Int = task.countIn(usable(type.resources, type.resources))

        /** Puts as many of the tasks on the machine as it takes. */
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

        private fun usable(
            free: Resources,
            total: Resources,
        ) = if (reservesCores) withoutReservedCores(free, total) else free

        /** What the tasks may use of a machine: without GPUs of their own, not the cores that its free GPUs will need. */
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
        /** Ties between zones go to the one with fewer machines of the type. */
        const val ZONE_BALANCE_WEIGHT = 1e-3

        /** An offer whose machines boot n times slower than nominal costs (n - 1) times this share more. */
        const val SLOWNESS_WEIGHT = 0.25

        /** How much of its even share of the cores is reserved for each GPU. */
        const val RESERVED_CORES_SHARE = 0.7
    }
}
