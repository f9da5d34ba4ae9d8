package micatally.fleet

import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.worker.Machine

/**
 * Which machines to empty, so that they can be returned. Decisions only.
 *
 * @param up machines in service that are not being emptied
 * @param leaving machines that are
 * @param recent services that came lately: as many may come while a machine boots
 * @param headroom share of what is used that stays free
 */
class ConsolidationPlan(
    private val up: List<Machine>,
    private val leaving: List<Machine>,
    private val types: Map<String, MachineType>,
    private val recent: List<ResourceRequest>,
    private val headroom: Double,
) {
    class Choice(
        val machine: Machine,
        val reason: String,
    )

    private val chosen = LinkedHashSet<Machine>()

    /**
     * The machines with the least on them, dearest types first, as long as the others have room for that and some more besides:
     * the headroom, never less than a machine, nor than the recent services. What is on its way off emptying machines has its
     * room counted already. Tasks without cards may go to any type, but stay in their zone.
     *
     * @param mayEmpty whether a machine may be chosen at all
     */
    fun choose(
        most: Int,
        mayEmpty: (Machine) -> Boolean,
    ): List<Choice> {
        val choices = ArrayList<Choice>()
        for (type in types.values.sortedByDescending { it.hourly }) {
            val candidates =
                up
                    .filter { it.type == type.label && mayEmpty(it) }
                    .sortedWith(compareBy({ it.used.gpus }, { share(type, it.used) }, { it.name }))
            for (machine in candidates) {
                if (choices.size >= most) return choices
                val free = freeElsewhere(type, machine) ?: break
                val used = share(type, machine.used)
                choices.add(
                    Choice(
                        machine,
                        "%.2f used, %.0f cores and %.0f cards free elsewhere".format(used, free.cores, free.gpus),
                    ),
                )
                chosen.add(machine)
            }
        }
        return choices
    }

    private fun share(
        type: MachineType,
        used: Resources,
    ): Double {
        val gpus = if (type.resources.gpus > 0) used.gpus / type.resources.gpus else 0.0
        return maxOf(gpus, used.cores / type.resources.cores)
    }

    /** What is free on machines that could take what is on this one; null if that is not enough, or this one is used too much. */
    private fun freeElsewhere(
        type: MachineType,
        machine: Machine,
    ): Resources? {
        val moved = machine.used
        if (share(type, moved) > MOSTLY_USED) return null
        val hasNoCards = moved.gpus <= 0.0 && type.resources.gpus > 0
        val takes = { other: Machine -> if (hasNoCards) other.zone == machine.zone else other.type == machine.type }
        var free = Resources.NONE
        var used = Resources.NONE
        for (other in up) {
            if (other === machine || other in chosen || !takes(other)) continue
            free = free + ((types[other.type] ?: continue).resources - other.used)
            used = used + other.used
        }
        for (other in leaving + chosen) if (takes(other)) free = free - other.used
        val spare = if (hasNoCards) Resources(used.cores * headroom, 0.0, 0.0) else spare(type, used)
        return free.takeIf { it.cores >= moved.cores + spare.cores && it.gpus >= moved.gpus + spare.gpus }
    }

    private fun spare(
        type: MachineType,
        used: Resources,
    ): Resources {
        val next =
            recent.filter {
                (it.types.isEmpty() || type.label in it.types) &&
                    (it.gpus > 0) == (type.resources.gpus > 0)
            }
        val cores = maxOf(type.resources.cores, used.cores * headroom, next.sumOf { it.cores * it.count })
        val gpus = maxOf(type.resources.gpus, used.gpus * headroom, next.sumOf { it.gpus * it.count })
        return Resources(cores, gpus, 0.0)
    }

    private companion object {
        /** A machine used beyond this is not worth emptying. */
        const val MOSTLY_USED = 0.8
    }
}
