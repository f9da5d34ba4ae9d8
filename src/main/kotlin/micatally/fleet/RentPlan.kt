package micatally.fleet

import micatally.wire.Amount
import micatally.wire.Demand
import micatally.wire.Flavor

/** A machine type in a zone, spot or ordinary: what the cloud is asked for. */
data class Offer(val type: String, val zone: String, val spot: Boolean)

/** What to rent for tasks that find no room. Decisions only. */
object RentPlan {
    class Room(val type: String, val zone: String, val spot: Boolean, var free: Amount)

    private fun allowed(d: Demand, type: String, zone: String, spot: Boolean) =
        (d.types.isEmpty() || type in d.types) && (d.zones.isEmpty() || zone in d.zones) && (!spot || d.spot)

    /** How many such tasks an empty machine takes. */
    fun perMachine(task: Amount, machine: Amount): Int {
        fun n(one: Double, all: Double) = if (one <= 0) Int.MAX_VALUE else ((all + Amount.SLACK) / one).toInt()
        return minOf(n(task.cores, machine.cores), n(task.cards, machine.cards), n(task.ram, machine.ram))
    }

    /** Fills the rooms that are coming first, then picks offers for the rest, by the cost of what each would carry.
     * [coming] is changed. [refused] are offers that the cloud turned down lately. */
    fun plan(
        demands: List<Demand>, coming: MutableList<Room>, flavors: Collection<Flavor>, refused: (Offer) -> Boolean, owned: Map<String, Int>, most: Int,
    ): Map<Offer, Int> {
        val out = LinkedHashMap<Offer, Int>()
        val perZone = HashMap(owned)
        for (d in demands.sortedBy { it.priority }) {
            val task = Amount(d.cores, d.cards, d.ram)
            var left = d.count
            fun fill(r: Room) {
                while (left > 0 && allowed(d, r.type, r.zone, r.spot) && task.fitsIn(r.free)) { r.free = r.free - task; left-- }
            }
            for (r in coming) { if (left == 0) break; fill(r) }
            while (left > 0 && out.values.sum() < most) {
                var best: Offer? = null
                var bestCost = Double.MAX_VALUE
                for (f in flavors) {
                    val n = perMachine(task, f.amount)
                    if (n == 0) continue
                    for (z in f.zones) for (spot in if (d.spot) listOf(true, false) else listOf(false)) {
                        val o = Offer(f.label, z, spot)
                        if (!allowed(d, f.label, z, spot) || refused(o)) continue
                        val cost = f.price(spot) * Math.ceil(left.toDouble() / n) / left * (1 + (perZone["${f.label}/$z"] ?: 0) * ZONE_BALANCE)
                        if (cost < bestCost) { best = o; bestCost = cost }
                    }
                }
                val o = best ?: break
                val f = flavors.first { it.label == o.type }
                val room = Room(o.type, o.zone, o.spot, f.amount)
                out.merge(o, 1, Int::plus)
                perZone.merge("${o.type}/${o.zone}", 1, Int::plus)
                coming.add(room)
                fill(room)
            }
        }
        return out
    }

    /** Ties between zones go to the one with fewer machines of the type. */
    private const val ZONE_BALANCE = 1e-3
}
