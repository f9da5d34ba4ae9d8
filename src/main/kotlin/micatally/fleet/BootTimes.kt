package micatally.fleet

/** An instance that is not up yet, and how long ago it was provisioned. */
class BootingInstance(
    val offer: Offer,
    val ageMs: Long,
)

/**
 * Estimates how long machines take to boot, by type and zone, from recent boots and from the ages of those still booting. Decisions
 * only: no I/O.
 *
 * A booting machine counts as capacity to come for as long as that is plausible. After that the capacity is provisioned elsewhere,
 * but only once: when most machines of a type and zone are late, all of them are waited for longer, or the same capacity would be
 * provisioned again and again.
 *
 * @param nominalMs the boot time that the cloud states for a machine type, in milliseconds
 */
class BootTimes(
    private val nominalMs: (String) -> Long,
) {
    private class Boot(
        val bootMs: Long,
        val atMs: Long,
    )

    private val recentBoots = HashMap<TypeInZone, ArrayDeque<Boot>>()
    private var bootingAges: Map<TypeInZone, List<Long>> = emptyMap()

    /** Records that a machine came up at [nowMs], [bootMs] after it was provisioned. */
    fun recordBoot(
        offer: Offer,
        bootMs: Long,
        nowMs: Long,
    ) {
        val recent = recentBoots.getOrPut(offer.typeInZone) { ArrayDeque() }
        recent.addLast(Boot(bootMs, nowMs))
        if (recent.size > BOOTS_KEPT) recent.removeFirst()
    }

    /** Replaces the set of machines that are still booting, and forgets boots that are long past. */
    fun updateBooting(
        booting: List<BootingInstance>,
        nowMs: Long,
    ) {
        bootingAges = booting.groupBy({ it.offer.typeInZone }, { it.ageMs })
        for ((typeInZone, boots) in recentBoots) {
            boots.removeIf { nowMs - it.atMs > nominalMs(typeInZone.type) * RETENTION_NOMINALS }
        }
    }

    /** Up to which age, in milliseconds, a machine that is not up counts as capacity to come. */
    fun expectedWithinMs(offer: Offer): Long {
        val nominal = nominalMs(offer.type)
        val longestWaitMs = maxOf(nominal * TIMEOUT_NOMINALS, longestBootMs(offer) * LONGEST_MARGIN)
        return (typicalBootMs(offer) * TYPICAL_MARGIN).toLong().coerceIn(nominal * USUAL_NOMINALS, longestWaitMs)
    }

    /** At which age, in milliseconds, a machine that is not up is to be deleted. While most are late, all may still come up. */
    fun bootTimeoutMs(offer: Offer): Long {
        val nominal = nominalMs(offer.type)
        val timeoutNominals = if (slowness(offer) > 1.0) SLOW_TIMEOUT_NOMINALS else TIMEOUT_NOMINALS
        return maxOf(nominal * timeoutNominals, longestBootMs(offer) * LONGEST_MARGIN)
    }

    /** How many times slower than nominal the offer's machines boot now; 1 within what is usual. */
    fun slowness(offer: Offer): Double {
        val ratio = typicalBootMs(offer).toDouble() / nominalMs(offer.type)
        return if (ratio > USUAL_NOMINALS) ratio else 1.0
    }

    /** The median of recent boots and of the ages of machines whose boot takes longer than usual by now. */
    private fun typicalBootMs(offer: Offer): Long {
        val nominal = nominalMs(offer.type)
        val lateAges = bootingAges[offer.typeInZone]?.filter { it > nominal * USUAL_NOMINALS } ?: emptyList()
        val bootTimes = (recentBoots[offer.typeInZone]?.map { it.bootMs } ?: emptyList()) + lateAges
        return if (bootTimes.isEmpty()) nominal else bootTimes.sorted()[bootTimes.size / 2]
    }

    private fun longestBootMs(offer: Offer) = recentBoots[offer.typeInZone]?.maxOfOrNull { it.bootMs } ?: 0L

    private companion object {
        /** Boots remembered for each type and zone, and for how many nominal boot times: a period of slow boots ends. */
        const val BOOTS_KEPT = 8
        const val RETENTION_NOMINALS = 10L

        /** Nominal boot times that a machine may take without being late. The cloud usually takes up to 1.5 of them. */
        const val USUAL_NOMINALS = 2L

        /** Nominal boot times after which a machine is not waited for any more. The cloud says that some take several of them. */
        const val TIMEOUT_NOMINALS = 4L
        const val SLOW_TIMEOUT_NOMINALS = 10L

        /** Safety factors on the typical and on the longest boot time observed. */
        const val TYPICAL_MARGIN = 1.5
        const val LONGEST_MARGIN = 2L
    }
}
