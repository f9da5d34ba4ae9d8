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
    private data class TypeInZone(
        val type: String,
        val zone: String,
    )

    private class Boot(
        val bootMs: Long,
        val atMs: Long,
    )

    private val recentBoots = HashMap<TypeInZone, ArrayDeque<Boot>>()
    private var pendingAges: Map<TypeInZone, List<Long>> = emptyMap()

    /** A machine came up. */
    fun recordBoot(
        offer: Offer,
        bootMs: Long,
        nowMs: Long,
    ) {
        val recent = recentBoots.getOrPut(typeInZone(offer)) { ArrayDeque() }
        recent.addLast(Boot(bootMs, nowMs))
        if (recent.size > BOOTS_KEPT) recent.removeFirst()
    }

    /** Takes note of the machines that are still out, by offer and age, and forgets what is long past. */
    fun updatePending(
        pending: List<Pair<Offer, Long>>,
        nowMs: Long,
    ) {
        pendingAges = pending.groupBy({ typeInZone(it.first) }, { it.second })
        for ((typeInZone, boots) in recentBoots) {
            boots.removeIf {
                nowMs - it.atMs >
                    nominalMs(typeInZone.type) * RETENTION_NOMINALS
            }
        }
    }

    /** Up to which age a machine that is not up counts as coming. */
    fun expectedWithinMs(offer: Offer): Long {
        val nominal = nominalMs(offer.type)
        val longestWaitMs = maxOf(nominal * TIMEOUT_NOMINALS, longestBootMs(offer) * LONGEST_MARGIN)
        return (typicalBootMs(offer) * TYPICAL_MARGIN).toLong().coerceIn(nominal * USUAL_NOMINALS, longestWaitMs)
    }

    /** At which age a machine is given up and deleted. While most are late, all may yet come. */
    fun bootTimeoutMs(offer: Offer): Long {
        val nominal = nominalMs(offer.type)
        val timeoutNominals = if (slowness(offer) > 1.0) SLOW_TIMEOUT_NOMINALS else TIMEOUT_NOMINALS
        return maxOf(nominal * timeoutNominals, longestBootMs(offer) * LONGEST_MARGIN)
    }

    /** How many times slower than nominal the offer's machines come now; 1 within what is usual. */
    fun slowness(offer: Offer): Double {
        val ratio = typicalBootMs(offer).toDouble() / nominalMs(offer.type)
        return if (ratio > USUAL_NOMINALS) ratio else 1.0
    }

    /** The median of the boots seen lately and of the ages of those that take longer than usual by now. */
    private fun typicalBootMs(offer: Offer): Long {
        val nominal = nominalMs(offer.type)
        val late = pendingAges[typeInZone(offer)]?.filter { it > nominal * USUAL_NOMINALS } ?: emptyList()
        val bootTimes = (recentBoots[typeInZone(offer)]?.map { it.bootMs } ?: emptyList()) + late
        return if (bootTimes.isEmpty()) nominal else bootTimes.sorted()[bootTimes.size / 2]
    }

    private fun longestBootMs(offer: Offer) = recentBoots[typeInZone(offer)]?.maxOfOrNull { it.bootMs } ?: 0L

    private fun typeInZone(offer: Offer) = TypeInZone(offer.type, offer.zone)

    private companion object {
        /** Boots remembered for each type and zone, and for how many nominal boots: a spell of slow ones passes. */
        const val BOOTS_KEPT = 8
        const val RETENTION_NOMINALS = 10L

        /** The protocol: usually up to 1.5 times the nominal time. */
        const val USUAL_NOMINALS = 2L

        /** The protocol: some take several times as long. */
        const val TIMEOUT_NOMINALS = 4L
        const val SLOW_TIMEOUT_NOMINALS = 10L
        const val TYPICAL_MARGIN = 1.5
        const val LONGEST_MARGIN = 2L
    }
}
