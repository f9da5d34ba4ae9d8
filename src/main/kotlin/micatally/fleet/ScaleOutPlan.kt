package micatally.fleet

import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.Resources

/** What to rent for tasks that find no room. Decisions only. */
object ScaleOutPlan {
    class PlannedMachine(
        val type: String,
        val zone: String,
        val spot: Boolean,
        var free: Resources,
    )

    private fun isAllowed(
        request: ResourceRequest,
        type: String,
        zone: String,
        spot: Boolean,
    ) = (request.types.isEmpty() || type in request.types) && (request.zones.isEmpty() || zone in request.zones) &&
        (!spot || request.spot)

    /** What tasks without cards may use of a room: not the cores that the cards in it will need. */
    private fun usableBy(
        task: Resources,
        free: Resources,
        machine: Resources,
    ) = if (task.gpus > 0 ||
        machine.gpus <= 0
    ) {
        free
    } else {
        Resources(free.cores - free.gpus * machine.cores / machine.gpus * RESERVED_CORES_SHARE, 0.0, free.memoryGb)
    }

    /** How many such tasks an empty machine takes. */
    private fun tasksPerMachine(
        task: Resources,
        machine: Resources,
        reservesCores: Boolean,
    ): Int = task.countIn(if (reservesCores) usableBy(task, machine, machine) else machine)

    /** Whether cores can be kept for cards: a task that is too large for what is left then, on any type that it may use,
     * would wait for good. */
    private fun mayReserveCores(
        request: ResourceRequest,
        task: Resources,
        machineTypes: Collection<MachineType>,
    ): Boolean =
        machineTypes.any { type ->
            (request.types.isEmpty() || type.label in request.types) && tasksPerMachine(task, type.resources, true) > 0
        }

    /** Tasks of one shape, of whichever job: together they may fill a machine that would be too large for one job's. */
    private data class Shape(
        val task: Resources,
        val types: List<String>,
        val spot: Boolean,
    )

    private fun shape(request: ResourceRequest) =
        Shape(Resources(request.cores, request.gpus, request.memoryGb), request.types, request.spot)

    /** Fills the rooms that are coming first, then picks offers for the rest, by the cost of what each would carry.
     * [pending] is changed. */
    fun plan(
        resourceRequests: List<ResourceRequest>,
        pending: MutableList<PlannedMachine>,
        machineTypes: Collection<MachineType>,
        market: Market,
        existing: Map<String, Int>,
        limit: Int,
    ): Map<Offer, Int> {
        val plan = LinkedHashMap<Offer, Int>()
        val machinesPerTypeAndZone = HashMap(existing)
        val resourcesByType = machineTypes.associate { it.label to it.resources }
        val pendingByShape = HashMap<Shape, Int>()
        for (request in resourceRequests) pendingByShape.merge(shape(request), request.count, Int::plus)
        // Those with cards first: what they leave of their machines serves the others.
        for (request in resourceRequests.sortedWith(compareBy({ it.priority }, { -it.gpus }))) {
            val task = Resources(request.cores, request.gpus, request.memoryGb)
            val reservesCores = mayReserveCores(request, task, machineTypes)
            var remaining = request.count
            val remainingByZone =
                if (request.zoneRoom.isEmpty()) {
                    null
                } else {
                    request.zones
                        .zip(
                            request.zoneRoom,
                        ).toMap(HashMap())
                }

            fun hasZoneCapacity(zone: String) = remainingByZone == null || (remainingByZone[zone] ?: 0) > 0

            fun fill(machine: PlannedMachine) {
                if (!isAllowed(request, machine.type, machine.zone, machine.spot)) return
                val total = resourcesByType[machine.type] ?: return
                while (remaining > 0 && hasZoneCapacity(machine.zone) &&
                    task.fitsIn(if (reservesCores) usableBy(task, machine.free, total) else machine.free)
                ) {
                    machine.free = machine.free - task
                    remaining--
                    remainingByZone?.merge(machine.zone, -1, Int::plus)
                }
            }
            for (machine in pending) {
                if (remaining == 0) break
                fill(machine)
            }
            while (remaining > 0 && plan.values.sum() < limit) {
                var best: Offer? = null
                var bestCost = Double.MAX_VALUE
                for (type in machineTypes) {
                    val tasksEach = tasksPerMachine(task, type.resources, reservesCores)
                    if (tasksEach == 0) continue
                    for (zone in type.zones) {
                        for (spot in if (request.spot) listOf(true, false) else listOf(false)) {
                            val offer = Offer(type.label, zone, spot)
                            if (!isAllowed(request, type.label, zone, spot) || market.isRefused(offer) ||
                                !hasZoneCapacity(zone)
                            ) {
                                continue
                            }
                            val taskCount = maxOf(remaining, pendingByShape[shape(request)] ?: 0)
                            val cost =
                                type.price(spot) * Math.ceil(taskCount.toDouble() / tasksEach) / taskCount *
                                    (1 + (machinesPerTypeAndZone["${type.label}/$zone"] ?: 0) * ZONE_BALANCE_WEIGHT) *
                                    (1 + (market.slowness(offer) - 1) * SLOWNESS_WEIGHT)
                            if (cost < bestCost) {
                                best = offer
                                bestCost = cost
                            }
                        }
                    }
                }
                val offer = best ?: break
                val type = machineTypes.first { it.label == offer.type }
                val added = PlannedMachine(offer.type, offer.zone, offer.spot, type.resources)
                plan.merge(offer, 1, Int::plus)
                machinesPerTypeAndZone.merge("${offer.type}/${offer.zone}", 1, Int::plus)
                pending.add(added)
                fill(added)
            }
            pendingByShape.merge(shape(request), -request.count, Int::plus)
        }
        return plan
    }

    /** Ties between zones go to the one with fewer machines of the type. */
    private const val ZONE_BALANCE_WEIGHT = 1e-3

    /** An offer that comes so many times slower than nominal costs so much more, for each of them beyond the first. */
    private const val SLOWNESS_WEIGHT = 0.25

    /** How much of its even share of the cores each card keeps. */
    private const val RESERVED_CORES_SHARE = 0.7
}
