package micatally.quota

import micatally.settings.Team
import micatally.wire.JobSpec

/** Cores and cards, the two things that teams are limited in. */
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

    companion object {
        val NONE = Share(0.0, 0.0)

        /** Sums of shares differ by less than this when they mean the same. */
        const val ROUNDING = 1e-6
    }
}

/** What one task of this job takes of its team's limit. */
val JobSpec.taskShare get() = Share(resources.cores, resources.gpus)

/** Whether the team is limited at all. */
val Team.isLimited get() = coresMax > 0 || gpusMax > 0

/** The limit; 0 in a dimension in which there is none. */
val Team.limit get() = Share(maxOf(coresMax, 0.0), maxOf(gpusMax, 0.0))

/** The part of [share] that the team is limited in: the other dimension has no allotment. */
fun Team.limitedPart(share: Share) = Share(if (coresMax > 0) share.cores else 0.0, if (gpusMax > 0) share.gpus else 0.0)

/** Whether [allotted] has room for [use]. */
fun Team.covers(
    allotted: Share,
    use: Share,
) = !limitedPart(use).exceeds(limitedPart(allotted))
