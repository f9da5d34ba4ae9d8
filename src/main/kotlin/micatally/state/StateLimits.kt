package micatally.state

/**
 * The limits of a state store.
 *
 * @property rps requests a second
 * @property writeRps puts and deletes a second
 * @property valueBytes size of one value
 * @property maxOperationsPerTransaction puts and deletes of one transaction
 */
data class StateLimits(
    val rps: Double,
    val writeRps: Double,
    val valueBytes: Int,
    val maxOperationsPerTransaction: Int,
) {
    /** The smaller of both for each limit, which is within the limits whichever of them is in force. */
    fun smallerOf(other: StateLimits) =
        StateLimits(
            minOf(rps, other.rps),
            minOf(writeRps, other.writeRps),
            minOf(valueBytes, other.valueBytes),
            minOf(maxOperationsPerTransaction, other.maxOperationsPerTransaction),
        )

    /**
     * How many further values one job's record may be split into, and its list of cancelled tasks likewise, so that both fit in
     * one transaction.
     */
    val overflowValues: Int
        get() {
            val byOperations = (maxOperationsPerTransaction - 2) / 2
            val byTransactionSize = TRANSACTION_BYTES / valueBytes / 2 - 1
            return minOf(byOperations, byTransactionSize).coerceAtLeast(0)
        }

    /**
     * How many attempts of one job its record is sure to hold, at the most one for each machine of the fleet: more cost a
     * scheduling cycle too much time. A small fleet may have more tasks than machines, so for it the bound is
     * [MIN_WANTED_ATTEMPTS]. A record that fits in one value is not compressed, as long as that holds enough.
     */
    fun attemptsOfOneJob(machineCount: Int): Int {
        val wanted = maxOf(MIN_WANTED_ATTEMPTS, machineCount)
        val plain = valueBytes / PLAIN_ATTEMPT_BYTES
        val packed = valueBytes * (1 + overflowValues) / PACKED_ATTEMPT_BYTES
        val isPlainEnough = overflowValues == 0 && (wanted <= plain || machineCount <= MIN_WANTED_ATTEMPTS)
        return minOf(wanted, if (isPlainEnough) plain else packed).coerceAtLeast(1)
    }

    /** Sizes of what is stored. */
    companion object {
        /** Average size of an attempt in a record; attempts that do not fit after all are given up again. */
        private const val PLAIN_ATTEMPT_BYTES = 40

        /** The same in a compressed record. */
        private const val PACKED_ATTEMPT_BYTES = 15
        private const val MIN_WANTED_ATTEMPTS = 400

        /** The protocol's limit of 64 KiB for a transaction, less its conditions and keys. */
        const val TRANSACTION_BYTES = 56 * 1024
    }
}
