package micatally.http

/**
 * Bounds the memory that the bodies of incoming requests take together, from the arrival of their first byte to the
 * response.
 */
class RequestMemory(
    private val maxBytes: Long,
) {
    /** The bytes that are taken now. */
    var heldBytes = 0L
        private set

    /** Starts the account of one request. */
    fun open() = Account()

    /** The memory of one request. To be closed when the request has been answered or given up. */
    inner class Account : AutoCloseable {
        private var bytes = 0L

        /**
         * Takes [moreBytes] in addition.
         *
         * @throws HttpError with status 503 if all requests together would hold too much
         */
        fun take(moreBytes: Int) {
            if (heldBytes + moreBytes >
                maxBytes
            ) {
                throw HttpError(HttpError.UNAVAILABLE, "too many requests in progress")
            }
            heldBytes += moreBytes
            bytes += moreBytes
        }

        override fun close() {
            heldBytes -= bytes
            bytes = 0
        }
    }
}
