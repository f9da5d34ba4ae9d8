package micatally.scheduling

import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.worker.Machine

/** A pending task of this or another controller, for which preemption may free capacity. */
sealed interface PlacementRequest {
    val resources: Resources

    /** The ordinal of the user's priority: lower is more important. */
    val priority: Int

    /** The index of the priority queue in which the task waits: lower goes first. */
    val queue: Int

    /** Names the request in log lines. */
    val name: String

    /** Whether the task may be placed on the machine, regardless of free capacity. */
    fun mayUse(machine: Machine): Boolean

    /** How well the machine suits the task if it has [free] capacity. The lowest score is the best. */
    fun score(
        machine: Machine,
        machineType: MachineType,
        free: Resources,
    ): Double
}

/** A pending task of a job of this controller. */
class OwnPlacementRequest(
    private val spec: JobSpec,
    private val zoneRule: ZoneRule,
    override val queue: Int,
) : PlacementRequest {
    override val resources get() = spec.resources
    override val priority get() = spec.priority.ordinal
    override val name get() = spec.jobId

    override fun mayUse(machine: Machine) = Placement.mayUse(spec, machine) && zoneRule.allows(machine.zone)

    override fun score(
        machine: Machine,
        machineType: MachineType,
        free: Resources,
    ): Double {
        val zoneScore = MachineScore.ofZone(spec, zoneRule.attemptsIn(machine.zone))
        return MachineScore.of(spec, machine, machineType, free) + zoneScore
    }
}

/** A pending service replica of another controller. Only its resource request is known here. */
class PeerPlacementRequest(
    private val request: ResourceRequest,
    private val view: ClusterView,
) : PlacementRequest {
    override val resources = Resources(request.cores, request.gpus, request.memoryGb)
    override val priority get() = request.priority

    /** Services always wait in the highest queue. */
    override val queue get() = 0
    override val name get() = "a peer's ${request.image}"

    override fun mayUse(machine: Machine) = view.mayUse(request, machine)

    override fun score(
        machine: Machine,
        machineType: MachineType,
        free: Resources,
    ): Double {
        val imagePullS = if (request.image in machine.images) 0.0 else ASSUMED_IMAGE_PULL_S
        return imagePullS + (free - resources).gpus / maxOf(1.0, machineType.resources.gpus)
    }

    private companion object {
        /** Stands for the pull time in seconds, as a resource request does not contain the size of the image. */
        const val ASSUMED_IMAGE_PULL_S = 30.0
    }
}
