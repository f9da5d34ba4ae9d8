package micatally.state

/**
 * Limits of a state service.
 *
 * @property rps requests a second
 * @property writeRps puts and deletes a second
 * @property valueBytes size of one value
 * @property txnOps puts and deletes of one transaction
 */
data class StateLimits(
    val rps: Double,
    val writeRps: Double,
    val valueBytes: Int,
    val txnOps: Int,
) {
    /** The smaller of both for each limit: what holds whichever of them is in force. */
    fun smallerOf(other: StateLimits) =
        StateLimits(
            minOf(rps, other.rps),
            minOf(writeRps, other.writeRps),
            minOf(valueBytes, other.valueBytes),
            minOf(txnOps, other.txnOps),
        )

    /** Further values that one record, or the kill list beside it, may be split into, so that both fit in a transaction. */
    val overflowValues: Int
        get() {
            val byOperations = (txnOps - 2) / 2
            val byTransactionSize = TRANSACTION_BYTES / valueBytes / 2 - 1
            return minOf(byOperations, byTransactionSize).coerceAtLeast(0)
        }

    /** How many attempts of one job its record is sure to hold; more than the ceiling cost a round too much time. */
    val attemptsOfOneJob: Int
        get() {
            val bytes = if (overflowValues == 0) PLAIN_ATTEMPT_BYTES else PACKED_ATTEMPT_BYTES
            return minOf(MOST_ATTEMPTS, valueBytes * (1 + overflowValues) / bytes).coerceAtLeast(1)
        }

    private companion object {
        /** What an attempt takes in a record on average, and compressed; what does not fit after all is given up again. */
        const val PLAIN_ATTEMPT_BYTES = 40
        const val PACKED_ATTEMPT_BYTES = 15
        const val MOST_ATTEMPTS = 400

        /** The protocol's limit of 64 KiB for a transaction, less its conditions and keys. */
        const val TRANSACTION_BYTES = 56 * 1024
    }
}
