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
    private val inService: List<Machine>,
    private val evicting: List<Machine>,
    private val types: Map<String, MachineType>,
    private val recentServices: List<ResourceRequest>,
    private val headroomShare: Double,
) {
    class Selection(
        val machine: Machine,
        val reason: String,
    )

    private val selected = LinkedHashSet<Machine>()

    /**
     * The machines with the least on them, dearest types first, as long as the others have room for that and some more besides:
     * the headroom, never less than a machine, nor than the recent services. What is on its way off emptying machines has its
     * room counted already. Tasks without cards may go to any type, but stay in their zone.
     *
     * @param mayEmpty whether a machine may be chosen at all
     */
    fun select(
        limit: Int,
        mayEvict: (Machine) -> Boolean,
    ): List<Selection> {
        val selections = ArrayList<Selection>()
        for (type in types.values.sortedByDescending { it.hourly }) {
            val candidates =
                inService
                    .filter { it.type == type.label && mayEvict(it) }
                    .sortedWith(compareBy({ it.used.gpus }, { utilization(type, it.used) }, { it.name }))
            for (machine in candidates) {
                if (selections.size >= limit) return selections
                val free = freeCapacityElsewhere(type, machine) ?: break
                val used = utilization(type, machine.used)
                selections.add(
                    Selection(
                        machine,
                        "%.2f used, %.0f cores and %.0f cards free elsewhere".format(used, free.cores, free.gpus),
                    ),
                )
                selected.add(machine)
            }
        }
        return selections
    }

    private fun utilization(
        type: MachineType,
        used: Resources,
    ): Double {
        val gpus = if (type.resources.gpus > 0) used.gpus / type.resources.gpus else 0.0
        return maxOf(gpus, used.cores / type.resources.cores)
    }

    /** What is free on machines that could take what is on this one; null if that is not enough, or this one is used too much. */
    private fun freeCapacityElsewhere(
        type: MachineType,
        machine: Machine,
    ): Resources? {
        val displaced = machine.used
        if (utilization(type, displaced) > MAX_UTILIZATION) return null
        val needsNoGpus = displaced.gpus <= 0.0 && type.resources.gpus > 0
        val mayHost = { other: Machine -> if (needsNoGpus) other.zone == machine.zone else other.type == machine.type }
        var free = Resources.NONE
        var used = Resources.NONE
        for (other in inService) {
            if (other === machine || other in selected || !mayHost(other)) continue
            free = free + ((types[other.type] ?: continue).resources - other.used)
            used = used + other.used
        }
        for (other in evicting + selected) if (mayHost(other)) free = free - other.used
        val reserve = if (needsNoGpus) Resources(used.cores * headroomShare, 0.0, 0.0) else reserve(type, used)
        return free.takeIf { it.cores >= displaced.cores + reserve.cores && it.gpus >= displaced.gpus + reserve.gpus }
    }

    private fun reserve(
        type: MachineType,
        used: Resources,
    ): Resources {
        val services =
            recentServices.filter {
                (it.types.isEmpty() || type.label in it.types) &&
                    (it.gpus > 0) == (type.resources.gpus > 0)
            }
        val cores = maxOf(type.resources.cores, used.cores * headroomShare, services.sumOf { it.cores * it.count })
        val gpus = maxOf(type.resources.gpus, used.gpus * headroomShare, services.sumOf { it.gpus * it.count })
        return Resources(cores, gpus, 0.0)
    }

    private companion object {
        /** A machine used beyond this is not worth emptying. */
        const val MAX_UTILIZATION = 0.8
    }
}
