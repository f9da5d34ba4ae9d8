package micatally.quota

import micatally.settings.Team
import micatally.wire.JobSpec

/** An amount of the two resources that teams are limited in. May be negative in a dimension, as a difference. */
data class Share(
    val cores: Double,
    val gpus: Double,
) {
    operator fun plus(other: Share) = Share(cores + other.cores, gpus + other.gpus)

    operator fun minus(other: Share) = Share(cores - other.cores, gpus - other.gpus)

    operator fun times(factor: Int) = Share(cores * factor, gpus * factor)

    operator fun times(factor: Double) = Share(cores * factor, gpus * factor)

    /** The smaller of both, each dimension by itself. */
    fun atMost(other: Share) = Share(minOf(cores, other.cores), minOf(gpus, other.gpus))

    /** The greater of both, each dimension by itself. */
    fun atLeast(other: Share) = Share(maxOf(cores, other.cores), maxOf(gpus, other.gpus))

    /** Whether one dimension is above that of [other] by more than rounding. */
    fun exceeds(other: Share) = cores > other.cores + ROUNDING || gpus > other.gpus + ROUNDING

    override fun toString() = "$cores/$gpus"

    /** Constants of amounts. */
    companion object {
        /** Neither cores nor GPUs. */
        val NONE = Share(0.0, 0.0)

        /**
         * Two amounts that differ by less than this count as equal; sums of the same shares may differ by rounding.
         */
        const val ROUNDING = 1e-6
    }
}

/** What one task of this job takes of its team's limit. */
val JobSpec.taskShare get() = Share(resources.cores, resources.gpus)

/** Whether the team has a limit in some dimension. */
val Team.isLimited get() = coresMax > 0 || gpusMax > 0

/** The team's limit; 0 in a dimension in which there is none. */
val Team.limit get() = Share(maxOf(coresMax, 0.0), maxOf(gpusMax, 0.0))

/** Returns [share] with 0 in each dimension in which the team has no limit, and so no allotment. */
fun Team.limitedPart(share: Share) = Share(if (coresMax > 0) share.cores else 0.0, if (gpusMax > 0) share.gpus else 0.0)

/** Whether [use] is within [allotted] in each dimension in which the team has a limit. */
fun Team.covers(
    allotted: Share,
    use: Share,
) = !limitedPart(use).exceeds(limitedPart(allotted))
