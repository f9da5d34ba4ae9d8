package micatally.fleet

/** A machine that is still booting, and the time in milliseconds since it was provisioned. */
class BootingInstance(
    val offer: Offer,
    val ageMs: Long,
)

/**
 * Estimates how long machines take to boot, by type and zone, from recent boots and from the ages of machines that are
 * still booting. It only computes and does no I/O.
 *
 * A booting machine counts as pending capacity for as long as it can reasonably be expected to come up. After that, its
 * capacity is provisioned a second time elsewhere. When most machines of a type and zone are late, the expected boot
 * time of all of them is extended instead; otherwise the same capacity would be provisioned over and over.
 *
 * @param nominalBootMs the boot time that the cloud states for a machine type, in milliseconds
 */
class BootTimes(
    private val nominalBootMs: (String) -> Long,
) {
    /** One observed boot: its duration, and the time at which the machine came up. */
    private class Boot(
        val bootMs: Long,
        val upAtMs: Long,
    )

    private val recentBoots = HashMap<TypeInZone, ArrayDeque<Boot>>()
    private var bootingAges: Map<TypeInZone, List<Long>> = emptyMap()

    /** When [bootingAges] were taken. */
    private var agesTakenAtMs = 0L

    /** Records that a machine came up at [nowMs], [bootMs] milliseconds after it was provisioned. */
    fun recordBoot(
        offer: Offer,
        bootMs: Long,
        nowMs: Long,
    ) {
        val recent = recentBoots.getOrPut(offer.typeInZone) { ArrayDeque() }
        recent.addLast(Boot(bootMs, nowMs))
        if (recent.size > MAX_RECENT_BOOTS) recent.removeFirst()
    }

    /** Replaces the machines that are still booting, and drops boots that were observed too long ago to count. */
    fun updateBooting(
        booting: List<BootingInstance>,
        nowMs: Long,
    ) {
        agesTakenAtMs = nowMs
        bootingAges = booting.groupBy({ it.offer.typeInZone }, { it.ageMs })
        for ((typeInZone, boots) in recentBoots) {
            boots.removeIf { nowMs - it.upAtMs > nominalBootMs(typeInZone.type) * RETENTION_FACTOR }
        }
    }

    /** The age, in milliseconds, up to which a machine that is not up counts as pending capacity. */
    fun expectedWithinMs(offer: Offer): Long {
        val nominalMs = nominalBootMs(offer.type)
        val longestWaitMs = maxOf(nominalMs * TIMEOUT_FACTOR, longestBootMs(offer) * LONGEST_BOOT_MARGIN)
        return (medianBootMs(offer) * TYPICAL_BOOT_MARGIN).toLong().coerceIn(nominalMs * LATE_FACTOR, longestWaitMs)
    }

    /**
     * The age, in milliseconds, at which a machine that is not up is deleted. The timeout is longer while most machines
     * of the type and zone are late, since all of them may still come up.
     */
    fun bootTimeoutMs(offer: Offer): Long {
        val nominalMs = nominalBootMs(offer.type)
        val timeoutFactor = if (slowness(offer) > 1.0) SLOW_TIMEOUT_FACTOR else TIMEOUT_FACTOR
        return maxOf(nominalMs * timeoutFactor, longestBootMs(offer) * LONGEST_BOOT_MARGIN)
    }

    /**
     * How many times slower than nominal machines of this type and zone boot at present; 1 if they boot in the usual
     * time.
     */
    fun slowness(offer: Offer): Double {
        val ratio = medianBootMs(offer).toDouble() / nominalBootMs(offer.type)
        return if (ratio > LATE_FACTOR) ratio else 1.0
    }

    /**
     * Whether a machine of this type and zone is later than expected, and none has come up since it was provisioned.
     */
    fun areOverdue(offer: Offer): Boolean {
        val ages = bootingAges[offer.typeInZone] ?: return false
        val lastUpMs = recentBoots[offer.typeInZone]?.maxOfOrNull { it.upAtMs } ?: Long.MIN_VALUE
        return ages.any { it > expectedWithinMs(offer) && lastUpMs < agesTakenAtMs - it }
    }

    /** The median of the recent boot times and of the ages of machines that are already late, in milliseconds. */
    private fun medianBootMs(offer: Offer): Long {
        val nominalMs = nominalBootMs(offer.type)
        val lateAges = bootingAges[offer.typeInZone]?.filter { it > nominalMs * LATE_FACTOR } ?: emptyList()
        val bootTimes = (recentBoots[offer.typeInZone]?.map { it.bootMs } ?: emptyList()) + lateAges
        return if (bootTimes.isEmpty()) nominalMs else bootTimes.sorted()[bootTimes.size / 2]
    }

    /** The longest of the recent boot times, in milliseconds; 0 if there are none. */
    private fun longestBootMs(offer: Offer) = recentBoots[offer.typeInZone]?.maxOfOrNull { it.bootMs } ?: 0L

    private companion object {
        /** The number of recent boots that are kept for each type and zone. */
        const val MAX_RECENT_BOOTS = 8

        /**
         * A boot is forgotten after this many nominal boot times, so that a period of slow boots stops counting once it
         * is over.
         */
        const val RETENTION_FACTOR = 10L

        /** A boot is late after this many nominal boot times. A boot in the cloud usually takes up to 1.5 of them. */
        const val LATE_FACTOR = 2L

        /**
         * A machine that is not up is given up after this many nominal boot times. The cloud states that some boots
         * take several nominal boot times.
         */
        const val TIMEOUT_FACTOR = 4L

        /** Replaces [TIMEOUT_FACTOR] while most machines of the type and zone are late. */
        const val SLOW_TIMEOUT_FACTOR = 10L

        /** Safety factor on the typical boot time. */
        const val TYPICAL_BOOT_MARGIN = 1.5

        /** Safety factor on the longest boot time observed. */
        const val LONGEST_BOOT_MARGIN = 2L
    }
}
