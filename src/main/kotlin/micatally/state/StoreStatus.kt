package micatally.state

/** The HTTP status codes of the state store. */
internal object StoreStatus {
    const val OK = 200

    /** The request is invalid, exceeds a size limit or names a lease that has expired. */
    const val REFUSED = 400
    const val NOT_FOUND = 404
    const val CONDITION_FAILED = 409

    /** The state store no longer keeps the history that a watch asks for. */
    const val COMPACTED = 410
    const val OVER_RATE_LIMIT = 429
    const val UNAVAILABLE = 503
}
