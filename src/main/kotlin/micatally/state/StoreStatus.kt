package micatally.state

/** The HTTP status codes with which the state store answers. */
internal object StoreStatus {
    const val OK = 200

    /** Not valid, over the limits of size, or with a lease that has expired. */
    const val REFUSED = 400
    const val NOT_FOUND = 404
    const val CONDITION_FAILED = 409

    /** The history that a watch asks for is not kept any more. */
    const val COMPACTED = 410
    const val OVER_RATE_LIMIT = 429
    const val UNAVAILABLE = 503
}
