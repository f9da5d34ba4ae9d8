package micatally.scheduling

import micatally.job.Attempt
import micatally.job.Job
import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.worker.Machine

/**
 * Decides where tasks of a job may be placed. [MachineScore] ranks the allowed machines. All functions are pure: no
 * I/O, no clock and no state.
 */
object Placement {
    /** Whether the job allows this machine type and one of its tasks fits on an empty machine of the type. */
    fun mayUseType(
        spec: JobSpec,
        machineType: MachineType,
    ): Boolean {
        val isAllowed = spec.types == null || machineType.label in spec.types
        return isAllowed && spec.resources.fitsIn(machineType.resources)
    }

    /** Whether the job allows the type of the machine and, if it is a spot instance, spot instances. */
    fun mayUse(
        spec: JobSpec,
        machine: Machine,
    ): Boolean = (!machine.isSpot || spec.isSpot) && (spec.types == null || machine.type in spec.types)

    /** Whether one of the job's tasks could run on any machine type that is offered in a zone the job allows. */
    fun isPossible(
        spec: JobSpec,
        machineTypes: Collection<MachineType>,
    ): Boolean = machineTypes.any { mayUseType(spec, it) && (spec.zone == null || spec.zone in it.zones) }

    /**
     * How many tasks of the job one zone may have: half of them, rounded up, if they must be scattered, or else all.
     */
    fun zoneCap(spec: JobSpec): Int = if (spec.scatter) (spec.taskCount + 1) / 2 else spec.taskCount

    /** Whether all tasks of the job may run at the same time if there are [zones] zones. */
    fun fitsZones(
        spec: JobSpec,
        zones: Int,
    ): Boolean {
        val allowed = if (spec.together || spec.zone != null) 1 else zones
        return zoneCap(spec).toLong() * allowed >= spec.taskCount
    }

    /**
     * Returns the rule for the zones in which another task of the job may start, given its live attempts.
     *
     * @param without an attempt that is not counted, because it will have ended before the other task starts
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

    /** Builds the resource request for [count] tasks of the job, as it is published to the other controllers. */
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
