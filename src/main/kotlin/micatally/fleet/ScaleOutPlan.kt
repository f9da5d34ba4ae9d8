package micatally.fleet

import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.Resources

/** A machine type in a zone, spot or ordinary: what the cloud is asked for. */
data class Offer(
    val type: String,
    val zone: String,
    val isSpot: Boolean,
)

/**
 * What is known of offers besides their prices.
 *
 * @property isRefused the cloud turned the offer down lately
 * @property slowness how many times slower than nominal its machines come now
 */
class Market(
    val isRefused: (Offer) -> Boolean,
    val slowness: (Offer) -> Double,
)

/** What to rent for tasks that find no room. Decisions only. */
object ScaleOutPlan {
    class Room(
        val type: String,
        val zone: String,
        val isSpot: Boolean,
        var free: Resources,
    )

    private fun allowed(
        d: ResourceRequest,
        type: String,
        zone: String,
        isSpot: Boolean,
    ) = (d.types.isEmpty() || type in d.types) && (d.zones.isEmpty() || zone in d.zones) && (!isSpot || d.isSpot)

    /** What tasks without cards may use of a room: not the cores that the cards in it will need. */
    private fun open(
        task: Resources,
        free: Resources,
        machine: Resources,
    ) = if (task.gpus > 0 ||
        machine.gpus <= 0
    ) {
        free
    } else {
        Resources(free.cores - free.gpus * machine.cores / machine.gpus * CORES_KEPT, 0.0, free.memoryGb)
    }

    /** How many such tasks an empty machine takes. */
    private fun perMachine(
        task: Resources,
        machine: Resources,
        keepsCores: Boolean,
    ): Int = task.countIn(if (keepsCores) open(task, machine, machine) else machine)

    /** Whether cores can be kept for cards: a task that is too large for what is left then, on any type that it may use,
     * would wait for good. */
    private fun mayKeepCores(
        demand: ResourceRequest,
        task: Resources,
        machineTypes: Collection<MachineType>,
    ): Boolean =
        machineTypes.any { flavor ->
            (demand.types.isEmpty() || flavor.label in demand.types) && perMachine(task, flavor.resources, true) > 0
        }

    /** Tasks of one shape, of whichever job: together they may fill a machine that would be too large for one job's. */
    private data class Shape(
        val task: Resources,
        val types: List<String>,
        val isSpot: Boolean,
    )

    private fun shape(d: ResourceRequest) = Shape(Resources(d.cores, d.gpus, d.memoryGb), d.types, d.isSpot)

    /** Fills the rooms that are coming first, then picks offers for the rest, by the cost of what each would carry.
     * [coming] is changed. */
    fun plan(
        demands: List<ResourceRequest>,
        coming: MutableList<Room>,
        machineTypes: Collection<MachineType>,
        market: Market,
        owned: Map<String, Int>,
        most: Int,
    ): Map<Offer, Int> {
        val out = LinkedHashMap<Offer, Int>()
        val perZone = HashMap(owned)
        val amounts = machineTypes.associate { it.label to it.resources }
        val bulk = HashMap<Shape, Int>()
        for (d in demands) bulk.merge(shape(d), d.count, Int::plus)
        // Those with cards first: what they leave of their machines serves the others.
        for (d in demands.sortedWith(compareBy({ it.priority }, { -it.gpus }))) {
            val task = Resources(d.cores, d.gpus, d.memoryGb)
            val keepsCores = mayKeepCores(d, task, machineTypes)
            var left = d.count
            val zoneRoom = if (d.zoneLimits.isEmpty()) null else d.zones.zip(d.zoneLimits).toMap(HashMap())

            fun roomIn(zone: String) = zoneRoom == null || (zoneRoom[zone] ?: 0) > 0

            fun fill(r: Room) {
                if (!allowed(d, r.type, r.zone, r.isSpot)) return
                val machine = amounts[r.type] ?: return
                while (left > 0 && roomIn(r.zone) &&
                    task.fitsIn(if (keepsCores) open(task, r.free, machine) else r.free)
                ) {
                    r.free = r.free - task
                    left--
                    zoneRoom?.merge(r.zone, -1, Int::plus)
                }
            }
            for (r in coming) {
                if (left == 0) break
                fill(r)
            }
            while (left > 0 && out.values.sum() < most) {
                var best: Offer? = null
                var bestCost = Double.MAX_VALUE
                for (f in machineTypes) {
                    val n = perMachine(task, f.resources, keepsCores)
                    if (n == 0) continue
                    for (z in f.zones) {
                        for (isSpot in if (d.isSpot) listOf(true, false) else listOf(false)) {
                            val o = Offer(f.label, z, isSpot)
                            if (!allowed(d, f.label, z, isSpot) || market.isRefused(o) || !roomIn(z)) continue
                            val many = maxOf(left, bulk[shape(d)] ?: 0)
                            val cost =
                                f.price(isSpot) * Math.ceil(many.toDouble() / n) / many *
                                    (1 + (perZone["${f.label}/$z"] ?: 0) * ZONE_BALANCE) *
                                    (1 + (market.slowness(o) - 1) * SLOWNESS_WEIGHT)
                            if (cost < bestCost) {
                                best = o
                                bestCost = cost
                            }
                        }
                    }
                }
                val o = best ?: break
                val f = machineTypes.first { it.label == o.type }
                val room = Room(o.type, o.zone, o.isSpot, f.resources)
                out.merge(o, 1, Int::plus)
                perZone.merge("${o.type}/${o.zone}", 1, Int::plus)
                coming.add(room)
                fill(room)
            }
            bulk.merge(shape(d), -d.count, Int::plus)
        }
        return out
    }

    /** Ties between zones go to the one with fewer machines of the type. */
    private const val ZONE_BALANCE = 1e-3

    /** An offer that comes so many times slower than nominal costs so much more, for each of them beyond the first. */
    private const val SLOWNESS_WEIGHT = 0.25

    /** How much of its even share of the cores each card keeps. */
    private const val CORES_KEPT = 0.7
}
