package micatally.fleet

import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.ZoneOption

/**
 * Decides which machines to provision for tasks that find no free capacity. It only computes and does no I/O. Each
 * instance is used for one plan.
 *
 * Tasks are first placed on the machines that are booting. For the rest, the plan adds machines of the offer with the
 * lowest cost per task. For tasks that must share a zone and may share several, it tries all of them and has one chosen.
 *
 * @param pending machines that are booting or have just come up; the plan appends the machines that it adds
 * @param existing the number of machines by type and zone, including booting ones
 * @param limit the largest number of machines that the plan adds
 * @param zoneChoices chooses the zones for tasks that must share one
 */
class ScaleOutPlan(
    private val machineTypes: Collection<MachineType>,
    private val conditions: OfferConditions,
    private val pending: MutableList<PlannedMachine>,
    existing: Map<TypeInZone, Int>,
    private val limit: Int,
    private val zoneChoices: ZoneChoices,
) {
    /** The number of machines that the plan adds, by offer. */
    private val planned = LinkedHashMap<Offer, Int>()
    private val machinesByTypeInZone = HashMap(existing)
    private val typesByLabel = machineTypes.associateBy { it.label }

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
            if (request.zoneOptions.isEmpty()) planFor(request) else planInOneZone(request)
            remainingByShape.merge(TaskShape(request), -request.count, Int::plus)
        }
        return planned
    }

    /** Places the tasks of one resource request, first on booting and planned machines, then on new ones. */
    private fun planFor(request: ResourceRequest) {
        val placement = RequestPlacement(request, typesByLabel)
        fillPending(placement)
        while (!placement.isDone && planned.values.sum() < limit) {
            val offer = cheapestOffer(placement, { !conditions.isBackingOff(it) })
            if (offer == null) {
                unmet.add(request)
                break
            }
            placement.fill(add(offer))
        }
    }

    /**
     * Places tasks that must share a zone in the chosen one. Adds no machine while one of those needed is backing off:
     * another zone is chosen once that is cheaper, and a part of the machines would be of no use.
     */
    private fun planInOneZone(request: ResourceRequest) {
        val chosen = zoneChoices.choose(request.jobId, request.zoneOptions.map { tryZone(request, it) })
        if (chosen == null) {
            unmet.add(request)
            return
        }
        val placement = RequestPlacement(chosen.request, typesByLabel)
        fillPending(placement)
        if (chosen.isBackingOff) {
            unmet.add(request)
            return
        }
        for (offer in chosen.added.take(limit - planned.values.sum())) placement.fill(add(offer))
    }

    private fun fillPending(placement: RequestPlacement) {
        for (machine in pending) {
            if (placement.isDone) return
            placement.fill(machine)
        }
    }

    /** Finds out what it takes to place the tasks in one zone. Changes nothing. */
    private fun tryZone(
        request: ResourceRequest,
        option: ZoneOption,
    ): ZoneTrial {
        val inZone = request.copy(zones = listOf(option.zone), count = option.count, zoneOptions = emptyList())
        val placement = RequestPlacement(inZone, typesByLabel)
        for (machine in pending) placement.fill(PlannedMachine(machine.offer, machine.free))
        val added = ArrayList<Offer>()
        while (!placement.isDone && added.size < limit) {
            val offer = cheapestOfferToTry(placement) ?: break
            added.add(offer)
            placement.fill(PlannedMachine(offer, typesByLabel.getValue(offer.type).resources))
        }
        val price =
            added.sumOf {
                typesByLabel.getValue(it.type).price(it.isSpot) * slownessWeight(it) *
                    refusalWeight(it)
            }
        val isComplete = placement.isDone || added.size == limit
        return ZoneTrial(
            inZone,
            added,
            price,
            isComplete,
            isBackingOff = added.any { conditions.isBackingOff(it) },
            needsGivenUpOffer = added.any { isGivenUp(it) },
        )
    }

    /** The offer with the lowest cost per task, also if it is backing off. Offers that are given up come last. */
    private fun cheapestOfferToTry(placement: RequestPlacement): Offer? =
        cheapestOffer(placement, { !isGivenUp(it) }, ::refusalWeight)
            ?: cheapestOffer(placement, { true }, ::refusalWeight)

    private fun isGivenUp(offer: Offer) =
        conditions.refusalsInRow(offer) >= REFUSALS_TO_GIVE_UP || conditions.areOverdue(offer)

    /** How many times more expensive the offer counts because the cloud has refused it. */
    private fun refusalWeight(offer: Offer) = 1.0 + conditions.refusalsInRow(offer)

    /** Adds an empty machine of the offer to the plan. */
    private fun add(offer: Offer): PlannedMachine {
        val machine = PlannedMachine(offer, typesByLabel.getValue(offer.type).resources)
        planned.merge(offer, 1, Int::plus)
        machinesByTypeInZone.merge(offer.typeInZone, 1, Int::plus)
        pending.add(machine)
        return machine
    }

    /**
     * The offer with the lowest cost per task among those that [mayAdd] selects; null if there is none. Among offers of
     * the same cost, the first one wins in the order of the machine types, then of their zones, then spot before
     * on-demand.
     */
    private fun cheapestOffer(
        placement: RequestPlacement,
        mayAdd: (Offer) -> Boolean,
        extraWeight: (Offer) -> Double = { 1.0 },
    ): Offer? {
        var cheapest: Offer? = null
        var lowestCost = Double.MAX_VALUE
        for (type in machineTypes) {
            val tasksPerMachine = placement.tasksPerMachine(type)
            if (tasksPerMachine == 0) continue
            for (offer in offersOf(type, placement).filter(mayAdd)) {
                val cost = cost(offer, type, tasksPerMachine, placement) * extraWeight(offer)
                if (cost < lowestCost) {
                    cheapest = offer
                    lowestCost = cost
                }
            }
        }
        return cheapest
    }

    /** The offers of the machine type that are allowed for the request, in zones that may take more tasks. */
    private fun offersOf(
        type: MachineType,
        placement: RequestPlacement,
    ): List<Offer> {
        val spotChoices = if (placement.request.isSpot) listOf(true, false) else listOf(false)
        return type.zones
            .flatMap { zone -> spotChoices.map { isSpot -> Offer(type.label, zone, isSpot) } }
            .filter { placement.isAllowed(it) && placement.hasZoneCapacity(it.zone) }
    }

    /**
     * The cost per task if all remaining tasks of this shape, over all jobs, shared whole machines of the offer.
     * Weighted so that zones are balanced and slowly booting machines are avoided.
     */
    private fun cost(
        offer: Offer,
        type: MachineType,
        tasksPerMachine: Int,
        placement: RequestPlacement,
    ): Double {
        val taskCount = maxOf(placement.remaining, remainingByShape[placement.shape] ?: 0)
        return type.price(offer.isSpot) * Math.ceil(taskCount.toDouble() / tasksPerMachine) / taskCount *
            (1 + (machinesByTypeInZone[offer.typeInZone] ?: 0) * ZONE_BALANCE_WEIGHT) *
            slownessWeight(offer)
    }

    private fun slownessWeight(offer: Offer) = 1 + (conditions.slowness(offer) - 1) * SLOWNESS_WEIGHT

    /** The weights of the costs, and when an offer is given up. */
    companion object {
        /**
         * The added cost, as a share, for each existing machine of the type in the zone. It decides between zones of
         * equal cost.
         */
        private const val ZONE_BALANCE_WEIGHT = 1e-3

        /**
         * An offer whose machines boot n times slower than nominal is rated (n - 1) times this share more expensive.
         */
        private const val SLOWNESS_WEIGHT = 0.25

        /**
         * For tasks that must share a zone, an offer is given up after this many refusals in a row. The backoffs between
         * them add up to one boot time of the machine type, see [OfferBackoff].
         */
        const val REFUSALS_TO_GIVE_UP = 4
    }
}
