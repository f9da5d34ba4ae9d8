package micatally.fleet

/** A machine type in a zone, spot or ordinary: what the cloud is asked for. */
data class Offer(
    val type: String,
    val zone: String,
    val isSpot: Boolean,
) {
    val typeInZone get() = TypeInZone(type, zone)
}

/** A machine type in a zone, whether spot or ordinary. */
data class TypeInZone(
    val type: String,
    val zone: String,
)

/**
 * What is known of offers besides their prices.
 *
 * @property isRefused the cloud turned the offer down lately, so it is not asked for again yet
 * @property slowness how many times slower than nominal its machines boot now; 1 or more
 */
class Market(
    val isRefused: (Offer) -> Boolean,
    val slowness: (Offer) -> Double,
)
