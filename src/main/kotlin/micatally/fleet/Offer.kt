package micatally.fleet

/** A machine type in a zone, spot or ordinary: what the cloud is asked for. */
data class Offer(
    val type: String,
    val zone: String,
    val spot: Boolean,
)

/**
 * What is known of offers besides their prices.
 *
 * @property isRefused the cloud turned the offer down lately
 * @property slowness how many times slower than nominal its machines come now
 */
class Market(
    val isRefused: (Offer) -> Boolean,
    val slowness: (Offer) -> Double,
)
