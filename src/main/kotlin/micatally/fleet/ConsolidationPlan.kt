package micatally.fleet

import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.worker.Machine

/**
 * Which machines to evict so that they can be deleted, because the tasks on them fit on others. Decisions only: no I/O. Each
 * instance selects once.
 *
 * @param inService machines in service that are not being evicted
 * @param evicting machines that are being evicted
 * @param recentServices services that were submitted lately: as many may come while a machine boots
 * @param headroomShare share of what is used that stays free
 */
class ConsolidationPlan(
    private val inService: List<Machine>,
    private val evicting: List<Machine>,
    private val types: Map<String, MachineType>,
    private val recentServices: List<ResourceRequest>,
    private val headroomShare: Double,
) {
    /** A machine to evict, and why, for the log. */
    class Selection(
        val machine: Machine,
        val reason: String,
    )

    private val selected = LinkedHashSet<Machine>()

    /**
     * The least used machines, most expensive types first, as long as the others have free capacity for their tasks and a reserve
     * besides: the headroom, and never less than a machine or than the recent services. Capacity for tasks that still have to
     * leave machines being evicted is taken into account. Tasks without GPUs may go to any type, but stay in their zone.
     *
     * @param limit how many machines to select at the most
     * @param mayEvict whether a machine may be selected at all
     */
    fun select(
        limit: Int,
        mayEvict: (Machine) -> Boolean,
    ): List<Selection> {
        val selections = ArrayList<Selection>()
        for (type in types.values.sortedByDescending { it.hourly }) {
            for (machine in candidates(type, mayEvict)) {
                if (selections.size >= limit) return selections
                val free = freeCapacityElsewhere(type, machine) ?: break
                selections.add(Selection(machine, reason(utilization(type, machine.used), free)))
                selected.add(machine)
            }
        }
        return selections
    }

    private fun candidates(
        type: MachineType,
        mayEvict: (Machine) -> Boolean,
    ): List<Machine> =
        inService
            .filter { it.type == type.label && mayEvict(it) }
            .sortedWith(compareBy({ it.used.gpus }, { utilization(type, it.used) }, { it.name }))

    private fun reason(
        utilization: Double,
        free: Resources,
    ) = "utilization %.2f, %.0f cores and %.0f GPUs free elsewhere".format(utilization, free.cores, free.gpus)

    /** The larger of the used shares of a machine's GPUs and cores. */
    private fun utilization(
        type: MachineType,
        used: Resources,
    ): Double {
        val gpus = if (type.resources.gpus > 0) used.gpus / type.resources.gpus else 0.0
        return maxOf(gpus, used.cores / type.resources.cores)
    }

    /** What is free on the machines that may take this one's tasks; null if that is not enough, or this one is used too much. */
    private fun freeCapacityElsewhere(
        type: MachineType,
        machine: Machine,
    ): Resources? {
        val displaced = machine.used
        if (utilization(type, displaced) > MAX_UTILIZATION) return null
        val usesNoGpus = displaced.gpus <= 0.0 && type.resources.gpus > 0
        val mayHost = { other: Machine -> if (usesNoGpus) other.zone == machine.zone else other.type == machine.type }
        val hosts = inService.filter { it !== machine && it !in selected && mayHost(it) }
        var free = Resources.NONE
        var used = Resources.NONE
        for (host in hosts) {
            val total = (types[host.type] ?: continue).resources
            free = free + (total - host.used)
            used = used + host.used
        }
        for (other in evicting + selected) if (mayHost(other)) free = free - other.used
        val reserve = if (usesNoGpus) Resources(used.cores * headroomShare, 0.0, 0.0) else reserve(type, used)
        return free.takeIf { it.cores >= displaced.cores + reserve.cores && it.gpus >= displaced.gpus + reserve.gpus }
    }

    /** What has to stay free on machines of the type. */
    private fun reserve(
        type: MachineType,
        used: Resources,
    ): Resources {
        val services = recentServices.filter { mayRunOn(it, type) }
        val cores = maxOf(type.resources.cores, used.cores * headroomShare, services.sumOf { it.cores * it.count })
        val gpus = maxOf(type.resources.gpus, used.gpus * headroomShare, services.sumOf { it.gpus * it.count })
        return Resources(cores, gpus, 0.0)
    }

    private fun mayRunOn(
        service: ResourceRequest,
        type: MachineType,
    ): Boolean {
        val isTypeAllowed = service.types.isEmpty() || type.label in service.types
        return isTypeAllowed && (service.gpus > 0) == (type.resources.gpus > 0)
    }

    private companion object {
        /** A machine that is used more than this is not worth evicting. */
        const val MAX_UTILIZATION = 0.8
    }
}
