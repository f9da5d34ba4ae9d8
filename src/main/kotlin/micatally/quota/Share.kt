package micatally.quota

import micatally.settings.Team
import micatally.wire.JobSpec

/**
 * An amount of cores and GPUs, the two resources that team limits apply to. The difference of two shares may be
 * negative in either of them.
 */
data class Share(
    val cores: Double,
    val gpus: Double,
) {
    operator fun plus(other: Share) = Share(cores + other.cores, gpus + other.gpus)

    operator fun minus(other: Share) = Share(cores - other.cores, gpus - other.gpus)

    operator fun times(factor: Int) = Share(cores * factor, gpus * factor)

    operator fun times(factor: Double) = Share(cores * factor, gpus * factor)

    /** Returns the smaller number of cores and the smaller number of GPUs of the two shares. */
    fun atMost(other: Share) = Share(minOf(cores, other.cores), minOf(gpus, other.gpus))

    /** Returns the greater number of cores and the greater number of GPUs of the two shares. */
    fun atLeast(other: Share) = Share(maxOf(cores, other.cores), maxOf(gpus, other.gpus))

    /** Whether the cores or the GPUs are above those of [other] by more than [ROUNDING]. */
    fun exceeds(other: Share) = cores > other.cores + ROUNDING || gpus > other.gpus + ROUNDING

    override fun toString() = "$cores/$gpus"

    /** Constants of shares. */
    companion object {
        /** Neither cores nor GPUs. */
        val NONE = Share(0.0, 0.0)

        /**
         * Two amounts that differ by less than this count as equal, since sums of the same shares may differ by
         * rounding.
         */
        const val ROUNDING = 1e-6
    }
}

/** The share of its team's limit that one task of this job takes. */
val JobSpec.taskShare get() = Share(resources.cores, resources.gpus)

/** Whether the team has a limit for cores or for GPUs. */
val Team.isLimited get() = coresMax > 0 || gpusMax > 0

/** The team's limit. It is 0 for a resource without a limit. */
val Team.limit get() = Share(maxOf(coresMax, 0.0), maxOf(gpusMax, 0.0))

/** Returns [share] with 0 for each resource for which the team has no limit, and so no allotment. */
fun Team.limitedPart(share: Share) = Share(if (coresMax > 0) share.cores else 0.0, if (gpusMax > 0) share.gpus else 0.0)

/** Whether [use] is within [allotted] for each resource for which the team has a limit. */
fun Team.covers(
    allotted: Share,
    use: Share,
) = !limitedPart(use).exceeds(limitedPart(allotted))
