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
    val maxOperationsPerTransaction: Int,
) {
    /** The smaller of both for each limit: what holds whichever of them is in force. */
    fun smallerOf(other: StateLimits) =
        StateLimits(
            minOf(rps, other.rps),
            minOf(writeRps, other.writeRps),
            minOf(valueBytes, other.valueBytes),
            minOf(maxOperationsPerTransaction, other.maxOperationsPerTransaction),
        )

    /** Further values that one record, or the kill list beside it, may be split into, so that both fit in a transaction. */
    val overflowValues: Int
        get() {
            val byOperations = (maxOperationsPerTransaction - 2) / 2
            val byTransactionSize = TRANSACTION_BYTES / valueBytes / 2 - 1
            return minOf(byOperations, byTransactionSize).coerceAtLeast(0)
        }

    /**
     * How many attempts of one job its record is sure to hold. More than one for each machine of the fleet cost a round too
     * much time; a small fleet may have more tasks than machines. A record that fits in one value is not compressed, as long
     * as that holds enough.
     */
    fun attemptsOfOneJob(machineCount: Int): Int {
        val wanted = maxOf(LEAST_WANTED_ATTEMPTS, machineCount)
        val plain = valueBytes / PLAIN_ATTEMPT_BYTES
        val packed = valueBytes * (1 + overflowValues) / PACKED_ATTEMPT_BYTES
        val isPlainEnough = overflowValues == 0 && (wanted <= plain || machineCount <= LEAST_WANTED_ATTEMPTS)
        return minOf(wanted, if (isPlainEnough) plain else packed).coerceAtLeast(1)
    }

    companion object {
        /** What an attempt takes in a record on average, and compressed; what does not fit after all is given up again. */
        private const val PLAIN_ATTEMPT_BYTES = 40
        private const val PACKED_ATTEMPT_BYTES = 15
        private const val LEAST_WANTED_ATTEMPTS = 400

        /** The protocol's limit of 64 KiB for a transaction, less its conditions and keys. */
        const val TRANSACTION_BYTES = 56 * 1024
    }
}
