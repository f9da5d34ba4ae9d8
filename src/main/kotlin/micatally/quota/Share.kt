package micatally.quota

import micatally.settings.Team

/** Cores and cards, the two things that teams are limited in. */
data class Share(
    val cores: Double,
    val cards: Double,
) {
    operator fun plus(other: Share) = Share(cores + other.cores, cards + other.cards)

    operator fun minus(other: Share) = Share(cores - other.cores, cards - other.cards)

    operator fun times(factor: Int) = Share(cores * factor, cards * factor)

    operator fun times(factor: Double) = Share(cores * factor, cards * factor)

    /** The smaller of both, each dimension by itself. */
    fun atMost(other: Share) = Share(minOf(cores, other.cores), minOf(cards, other.cards))

    /** The greater of both, each dimension by itself. */
    fun atLeast(other: Share) = Share(maxOf(cores, other.cores), maxOf(cards, other.cards))

    /** Whether one dimension is above that of [other] by more than rounding. */
    fun exceeds(other: Share) = cores > other.cores + ROUNDING || cards > other.cards + ROUNDING

    override fun toString() = "$cores/$cards"

    companion object {
        val NONE = Share(0.0, 0.0)

        /** Sums of shares differ by less than this when they mean the same. */
        const val ROUNDING = 1e-6
    }
}

/** Whether the team is limited at all. */
val Team.isLimited get() = coresMax > 0 || cardsMax > 0

/** The limit; 0 in a dimension in which there is none. */
val Team.limit get() = Share(maxOf(coresMax, 0.0), maxOf(cardsMax, 0.0))

/** The part of [share] that the team is limited in: the other dimension has no allotment. */
fun Team.limitedPart(share: Share) =
    Share(if (coresMax > 0) share.cores else 0.0, if (cardsMax > 0) share.cards else 0.0)

/** Whether [allotted] has room for [use]. */
fun Team.covers(
    allotted: Share,
    use: Share,
) = !limitedPart(use).exceeds(limitedPart(allotted))
