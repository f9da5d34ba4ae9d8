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
    fun typeAllowed(
        spec: JobSpec,
        f: MachineType,
    ) = (spec.types == null || f.label in spec.types) && spec.resources.fitsIn(f.resources)

    /** Whether any machine type could ever take one task of the job. */
    fun possible(
        spec: JobSpec,
        machineTypes: Collection<MachineType>,
    ) = machineTypes.any { typeAllowed(spec, it) && (spec.zone == null || spec.zone in it.zones) }

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
    fun zones(
        job: Job,
        spec: JobSpec,
        without: Attempt? = null,
    ): ZoneRule {
        val used = HashMap<String, Int>()
        for (a in job.attempts.values) if (a !== without) used.merge(a.machine.zone, 1, Int::plus)
        return ZoneRule(spec, used)
    }

    class ZoneRule(
        private val spec: JobSpec,
        val used: Map<String, Int>,
    ) {
        fun allows(zone: String): Boolean {
            if (spec.zone != null && spec.zone != zone) return false
            if (spec.together && used.isNotEmpty() && zone !in used) return false
            return !spec.scatter || (used[zone] ?: 0) < zoneCap(spec)
        }
    }

    /** What so many tasks of the job ask of the fleet. */
    fun demand(
        spec: JobSpec,
        rule: ZoneRule,
        allZones: List<String>,
        count: Int,
    ): ResourceRequest {
        val zones = allZones.filter { rule.allows(it) }
        val zoneRoom = if (spec.scatter) zones.map { zoneCap(spec) - (rule.used[it] ?: 0) } else emptyList()
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
            zoneRoom,
            spec.isGang,
        )
    }

    fun kindAllowed(
        spec: JobSpec,
        m: Machine,
    ) = (!m.isSpot || spec.isSpot) && (spec.types == null || m.type in spec.types)

    /** How long the image will take, by the type's nominal rate; nothing if the machine has it, and part of it if a
     * task of this node waits for it there already. */
    fun fetchS(
        spec: JobSpec,
        m: Machine,
        f: MachineType,
    ): Double {
        if (spec.image in m.images) return 0.0
        val whole = spec.imageGb / f.pullGbPerS
        return if (m.attempts.any { it.job.spec?.image == spec.image }) whole * COMING else whole
    }

    private const val COMING = 0.5

    /** Lower is better. The image counts most, then the tightest fit, so that whole machines stay free for large
     * tasks or can be returned. A task without cards avoids eating the cores that a machine's cards will need. */
    fun score(
        spec: JobSpec,
        m: Machine,
        f: MachineType,
        free: Resources,
    ): Double {
        var s = fetchS(spec, m, f)
        val left = free - spec.resources
        val share =
            maxOf(
                left.gpus / maxOf(f.resources.gpus, 1.0),
                if (f.resources.gpus > 0 &&
                    spec.resources.gpus > 0
                ) {
                    0.0
                } else {
                    left.cores / f.resources.cores
                },
            )
        s += share * FIT_WEIGHT
        if (spec.resources.gpus == 0.0 && f.resources.gpus > 0) {
            val perCard = f.resources.cores / f.resources.gpus * CORES_KEPT
            if (left.cores < left.gpus * perCard) s += STARVES_CARDS
        }
        if (m.isSpot && spec.isSpot) s -= SPOT_BONUS
        return s
    }

    /** What a zone adds to the score of its machines, given how many tasks of the job are in it. */
    fun zoneScore(
        spec: JobSpec,
        zoneUse: Int,
    ) = if (spec.scatter) zoneUse * SCATTER_WEIGHT else 0.0

    private const val FIT_WEIGHT = 8.0
    private const val STARVES_CARDS = 60.0
    private const val CORES_KEPT = 0.7
    private const val SPOT_BONUS = 4.0
    private const val SCATTER_WEIGHT = 0.5
}
