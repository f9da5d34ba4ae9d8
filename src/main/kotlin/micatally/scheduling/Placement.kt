package micatally.scheduling

import micatally.job.Attempt
import micatally.job.Job
import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.worker.Machine

/** Where the tasks of a job may go. Pure decisions: no I/O, no clock and no state. [MachineScore] says where they go best. */
object Placement {
    /** Whether machines of this type may take a task of the job and are large enough for it. */
    fun mayUseType(
        spec: JobSpec,
        machineType: MachineType,
    ): Boolean {
        val isAllowed = spec.types == null || machineType.label in spec.types
        return isAllowed && spec.resources.fitsIn(machineType.resources)
    }

    /** Whether the job allows the type of the machine and, if it is a spot instance, allows those. */
    fun mayUse(
        spec: JobSpec,
        machine: Machine,
    ): Boolean = (!machine.isSpot || spec.isSpot) && (spec.types == null || machine.type in spec.types)

    /** Whether there is any machine type, in a zone the job allows, that could take one of its tasks. */
    fun isPossible(
        spec: JobSpec,
        machineTypes: Collection<MachineType>,
    ): Boolean = machineTypes.any { mayUseType(spec, it) && (spec.zone == null || spec.zone in it.zones) }

    /** How many tasks of the job one zone may have: half of them, rounded up, if they are to be scattered. */
    fun zoneCap(spec: JobSpec): Int = if (spec.scatter) (spec.taskCount + 1) / 2 else spec.taskCount

    /** Whether [zones] zones are enough for all tasks of the job at the same time. */
    fun fitsZones(
        spec: JobSpec,
        zones: Int,
    ): Boolean {
        val allowed = if (spec.together || spec.zone != null) 1 else zones
        return zoneCap(spec).toLong() * allowed >= spec.taskCount
    }

    /**
     * The zones in which a further task of the job may start, given its live attempts.
     *
     * @param without an attempt that does not count, because it will have ended before the further task starts
     */
    fun zoneRule(
        job: Job,
        spec: JobSpec,
        without: Attempt? = null,
    ): ZoneRule {
        val attemptsByZone = HashMap<String, Int>()
        for (attempt in job.attempts.values) {
            if (attempt !== without) attemptsByZone.merge(attempt.machine.zone, 1, Int::plus)
        }
        return ZoneRule(spec, attemptsByZone)
    }

    /** What [count] tasks of the job need of the fleet, as it is published to the other controllers. */
    fun resourceRequest(
        spec: JobSpec,
        zoneRule: ZoneRule,
        allZones: List<String>,
        count: Int,
    ): ResourceRequest {
        val zones = allZones.filter { zoneRule.allows(it) }
        return ResourceRequest(
            cores = spec.resources.cores,
            gpus = spec.resources.gpus,
            memoryGb = spec.resources.memoryGb,
            types = spec.types?.toList() ?: emptyList(),
            zones = zones,
            isSpot = spec.isSpot,
            count = count,
            priority = spec.priority.ordinal,
            isService = spec.isService,
            estimateS = spec.estimateS,
            image = spec.image,
            zoneLimits = if (spec.scatter) zones.map { zoneRule.remainingIn(it) } else emptyList(),
            isGang = spec.isGang,
        )
    }
}
