package micatally.scheduling

import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.worker.Machine

/** A pending task, of this controller or of another one, for which capacity may be freed by preemption. */
sealed interface PlacementRequest {
    val resources: Resources

    /** The ordinal of the user's priority: lower is more important. */
    val priority: Int

    /** The priority queue in which the task waits: lower goes first. */
    val queue: Int

    /** For log lines. */
    val name: String

    fun mayUse(machine: Machine): Boolean

    /** How well a machine with this much free capacity suits the task; the lowest score is the best. */
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

/** A pending service of another controller, of which only its resource request is known here. */
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
        /** The size of the image is not part of a resource request. */
        const val ASSUMED_IMAGE_PULL_S = 30.0
    }
}
