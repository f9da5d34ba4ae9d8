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
 * What a task needs from a machine. Tasks of the same shape from several jobs are counted together, since they may fill
 * a machine that would be too large for the tasks of one job.
 */
internal data class TaskShape(
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

/**
 * The tasks of one resource request while they are placed on planned machines.
 *
 * @param machineTypes all machine types, by label
 */
internal class RequestPlacement(
    val request: ResourceRequest,
    private val machineTypes: Map<String, MachineType>,
) {
    val shape = TaskShape(request)
    private val task = shape.task

    /** How many more of the tasks each zone may take; null if there is no limit. */
    private val remainingByZone =
        if (request.zoneLimits.isEmpty()) null else request.zones.zip(request.zoneLimits).toMap(HashMap())

    /**
     * Whether cores are reserved for free GPUs. They are not if, with the reservation, the task fits on no machine type
     * that it may use; otherwise it would wait forever.
     */
    private val reservesCores =
        machineTypes.values.any { type ->
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
        val total = machineTypes[offer.type]?.resources ?: return
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

    private companion object {
        /**
         * The share of the cores that is reserved for each free GPU, relative to an even distribution of the cores over
         * the GPUs.
         */
        const val RESERVED_CORES_SHARE = 0.7
    }
}
