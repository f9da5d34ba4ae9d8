package micatally.fleet

/** What a provisioning request asks the cloud for: a machine type in a zone, as a spot or an on-demand instance. */
data class Offer(
    val type: String,
    val zone: String,
    val isSpot: Boolean,
) {
    val typeInZone get() = TypeInZone(type, zone)
}

/** A machine type in a zone, for spot and on-demand instances together. */
data class TypeInZone(
    val type: String,
    val zone: String,
)

/**
 * What the fleet manager has observed about offers; prices come from the machine types.
 *
 * @property isBackingOff whether the cloud turned the offer down recently, so that it is not requested at present
 * @property refusalsInRow how many times in a row the cloud had no capacity for the offer, as far as that still counts
 * @property areOverdue whether a machine of it is later than expected and none has come up since it was provisioned
 * @property slowness how many times slower than nominal its machines boot at present; 1 or more
 */
class OfferConditions(
    val isBackingOff: (Offer) -> Boolean,
    val refusalsInRow: (Offer) -> Int,
    val areOverdue: (Offer) -> Boolean,
    val slowness: (Offer) -> Double,
)
