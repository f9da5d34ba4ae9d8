package micatally.scheduling

import micatally.job.Attempt
import micatally.job.Job
import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.ResourceRequest
import micatally.wire.Resources
import micatally.worker.Machine

/** Where a task may go, and where it goes best. Decisions only; no I/O and no clock of its own. */
object Placement {
    fun mayUseType(
        spec: JobSpec,
        machineType: MachineType,
    ) = (spec.types == null || machineType.label in spec.types) && spec.resources.fitsIn(machineType.resources)

    /** Whether any machine type could ever take one task of the job. */
    fun isPossible(
        spec: JobSpec,
        machineTypes: Collection<MachineType>,
    ) = machineTypes.any { mayUseType(spec, it) && (spec.zone == null || spec.zone in it.zones) }

    /** At most half of the tasks, rounded up, in one zone. */
    fun zoneCap(spec: JobSpec) = if (spec.scatter) (spec.taskCount + 1) / 2 else spec.taskCount

    /** Whether as many tasks as the job has may be in the zones that are allowed to it at the same time. */
    fun fitsZones(
        spec: JobSpec,
        zones: Int,
    ): Boolean {
        val allowed = if (spec.together || spec.zone != null) 1 else zones
        return zoneCap(spec).toLong() * allowed >= spec.taskCount
    }

    /** The zones in which a further task of the job may start, given its live attempts; null: any. */
    fun zoneRule(
        job: Job,
        spec: JobSpec,
        without: Attempt? = null,
    ): ZoneRule {
        val attemptsByZone = HashMap<String, Int>()
        for (attempt in job.attempts.values) {
            if (attempt !==
                without
            ) {
                attemptsByZone.merge(attempt.machine.zone, 1, Int::plus)
            }
        }
        return ZoneRule(spec, attemptsByZone)
    }

    class ZoneRule(
        private val spec: JobSpec,
        val attemptsByZone: Map<String, Int>,
    ) {
        fun allows(zone: String): Boolean {
            if (spec.zone != null && spec.zone != zone) return false
            if (spec.together && attemptsByZone.isNotEmpty() && zone !in attemptsByZone) return false
            return !spec.scatter || (attemptsByZone[zone] ?: 0) < zoneCap(spec)
        }
    }

    /** What so many tasks of the job ask of the fleet. */
    fun resourceRequest(
        spec: JobSpec,
        zoneRule: ZoneRule,
        allZones: List<String>,
        count: Int,
    ): ResourceRequest {
        val zones = allZones.filter { zoneRule.allows(it) }
        val zoneLimits =
            if (spec.scatter) {
                zones.map {
                    zoneCap(
                        spec,
                    ) - (zoneRule.attemptsByZone[it] ?: 0)
                }
            } else {
                emptyList()
            }
        return ResourceRequest(
            spec.resources.cores,
            spec.resources.gpus,
            spec.resources.memoryGb,
            spec.types?.toList() ?: emptyList(),
            zones,
            spec.isSpot,
            count,
            spec.priority.ordinal,
            spec.isService,
            spec.estimateS,
            spec.image,
            zoneLimits,
            spec.isGang,
        )
    }

    fun mayUse(
        spec: JobSpec,
        machine: Machine,
    ) = (!machine.isSpot || spec.isSpot) && (spec.types == null || machine.type in spec.types)

    /** How long the image will take, by the type's nominal rate; nothing if the machine has it, and part of it if a
     * task of this node waits for it there already. */
    fun imagePullS(
        spec: JobSpec,
        machine: Machine,
        machineType: MachineType,
    ): Double {
        if (spec.image in machine.images) return 0.0
        val fullPullS = spec.imageGb / machineType.pullGbPerS
        return if (machine.attempts.any {
                it.job.spec?.image == spec.image
            }
        ) {
            fullPullS * PULL_UNDER_WAY_SHARE
        } else {
            fullPullS
        }
    }

    private const val PULL_UNDER_WAY_SHARE = 0.5

    /** Lower is better. The image counts most, then the tightest fit, so that whole machines stay free for large
     * tasks or can be returned. A task without cards avoids eating the cores that a machine's cards will need. */
    fun score(
        spec: JobSpec,
        machine: Machine,
        machineType: MachineType,
        free: Resources,
    ): Double {
        var score = imagePullS(spec, machine, machineType)
        val left = free - spec.resources
        val unusedShare =
            maxOf(
                left.gpus / maxOf(machineType.resources.gpus, 1.0),
                if (machineType.resources.gpus > 0 &&
                    spec.resources.gpus > 0
                ) {
                    0.0
                } else {
                    left.cores / machineType.resources.cores
                },
            )
        score += unusedShare * FIT_WEIGHT
        if (spec.resources.gpus == 0.0 && machineType.resources.gpus > 0) {
            val coresPerGpu = machineType.resources.cores / machineType.resources.gpus * CORES_KEPT_PER_GPU
            if (left.cores < left.gpus * coresPerGpu) score += STRANDED_GPUS_PENALTY
        }
        if (machine.isSpot && spec.isSpot) score -= SPOT_BONUS
        return score
    }

    /** What a zone adds to the score of its machines, given how many tasks of the job are in it. */
    fun zoneScore(
        spec: JobSpec,
        attemptsInZone: Int,
    ) = if (spec.scatter) attemptsInZone * SCATTER_WEIGHT else 0.0

    private const val FIT_WEIGHT = 8.0
    private const val STRANDED_GPUS_PENALTY = 60.0
    private const val CORES_KEPT_PER_GPU = 0.7
    private const val SPOT_BONUS = 4.0
    private const val SCATTER_WEIGHT = 0.5
}
