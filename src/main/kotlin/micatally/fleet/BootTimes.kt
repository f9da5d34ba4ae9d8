package micatally.fleet

/**
 * How long machines take to boot, learnt by type and zone from those that came up and from the age of those still out. Decisions
 * only.
 *
 * A rented machine counts as room that is coming for as long as that is plausible. Beyond it the room is looked for elsewhere,
 * once: when most machines of a type and zone are late, all of them are waited for longer, or the same room would be ordered again
 * and again.
 */
class BootTimes(
    private val nominalMs: (String) -> Long,
) {
    private data class Place(
        val type: String,
        val zone: String,
    )

    private class Boot(
        val tookMs: Long,
        val atMs: Long,
    )

    private val seen = HashMap<Place, ArrayDeque<Boot>>()
    private var ages: Map<Place, List<Long>> = emptyMap()

    /** A machine came up. */
    fun cameUp(
        offer: Offer,
        tookMs: Long,
        nowMs: Long,
    ) {
        val recent = seen.getOrPut(place(offer)) { ArrayDeque() }
        recent.addLast(Boot(tookMs, nowMs))
        if (recent.size > REMEMBERED) recent.removeFirst()
    }

    /** Takes note of the machines that are still out, by offer and age, and forgets what is long past. */
    fun observe(
        waitingFor: List<Pair<Offer, Long>>,
        nowMs: Long,
    ) {
        ages = waitingFor.groupBy({ place(it.first) }, { it.second })
        for ((place, boots) in seen) boots.removeIf { nowMs - it.atMs > nominalMs(place.type) * REMEMBERED_NOMINAL }
    }

    /** Up to which age a machine that is not up counts as coming. */
    fun plausibleMs(offer: Offer): Long {
        val nominal = nominalMs(offer.type)
        val most = maxOf(nominal * MOST_NOMINAL, longestSeenMs(offer) * SPREAD_LONGEST)
        return (typicalMs(offer) * SPREAD).toLong().coerceIn(nominal * LEAST_NOMINAL, most)
    }

    /** At which age a machine is given up and deleted. While most are late, all may yet come. */
    fun hopelessMs(offer: Offer): Long {
        val nominal = nominalMs(offer.type)
        val patience = if (slowness(offer) > 1.0) SLOW_GIVE_UP_NOMINAL else MOST_NOMINAL
        return maxOf(nominal * patience, longestSeenMs(offer) * SPREAD_LONGEST)
    }

    /** How many times slower than nominal the offer's machines come now; 1 within what is usual. */
    fun slowness(offer: Offer): Double {
        val ratio = typicalMs(offer).toDouble() / nominalMs(offer.type)
        return if (ratio > LEAST_NOMINAL) ratio else 1.0
    }

    /** The median of the boots seen lately and of the ages of those that take longer than usual by now. */
    private fun typicalMs(offer: Offer): Long {
        val nominal = nominalMs(offer.type)
        val late = ages[place(offer)]?.filter { it > nominal * LEAST_NOMINAL } ?: emptyList()
        val all = (seen[place(offer)]?.map { it.tookMs } ?: emptyList()) + late
        return if (all.isEmpty()) nominal else all.sorted()[all.size / 2]
    }

    private fun longestSeenMs(offer: Offer) = seen[place(offer)]?.maxOfOrNull { it.tookMs } ?: 0L

    private fun place(offer: Offer) = Place(offer.type, offer.zone)

    private companion object {
        /** Boots remembered for each type and zone, and for how many nominal boots: a spell of slow ones passes. */
        const val REMEMBERED = 8
        const val REMEMBERED_NOMINAL = 10L

        /** The protocol: usually up to 1.5 times the nominal time. */
        const val LEAST_NOMINAL = 2L

        /** The protocol: some take several times as long. */
        const val MOST_NOMINAL = 4L
        const val SLOW_GIVE_UP_NOMINAL = 10L
        const val SPREAD = 1.5
        const val SPREAD_LONGEST = 2L
    }
}
