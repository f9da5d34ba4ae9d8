package micatally.fleet

import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.worker.Machine

/**
 * Selects machines to evict and then delete, because their tasks fit on other machines. It only computes and does no
 * I/O. Each instance is used for one selection.
 *
 * @param inService machines in service that are not being evicted
 * @param evicting machines that are being evicted
 * @param recentServices services that were submitted recently; as many more may be submitted while a machine boots
 * @param headroomShare the free capacity to keep, as a share of the used capacity
 */
class ConsolidationPlan(
    private val inService: List<Machine>,
    private val evicting: List<Machine>,
    private val types: Map<String, MachineType>,
    private val recentServices: List<ResourceRequest>,
    private val headroomShare: Double,
) {
    /** A machine to evict, and the reason for the log. */
    class Selection(
        val machine: Machine,
        val reason: String,
    )

    private val selected = LinkedHashSet<Machine>()

    /**
     * Selects the least used machines of each type, most expensive types first. A machine is selected only if the
     * remaining machines have enough free capacity for its tasks and for a reserve. The reserve of a machine type is
     * the largest of the headroom, the capacity of one machine and the recent services.
     *
     * Free capacity that is needed for the tasks of machines being evicted does not count. A machine with GPUs of which
     * none is used may move its tasks to any machine type in its own zone, and keeps only the headroom of cores in
     * reserve. All others need free capacity on their own type.
     *
     * @param limit the largest number of machines to select
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

    /** Machines of the type that may be evicted, least used first. */
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

    /**
     * The free capacity of the machines that may take over this machine's tasks; null if it is not enough, or if this
     * machine is used too much to be evicted.
     */
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

    /** The free capacity that has to remain on machines of the type. */
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
        /** Machines with a higher utilization are not evicted. */
        const val MAX_UTILIZATION = 0.8
    }
}
