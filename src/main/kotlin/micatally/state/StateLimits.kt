package micatally.state

/**
 * The limits of the state store.
 *
 * @property rps requests a second, of all controllers together
 * @property writeRps puts and deletes a second, of all controllers together
 * @property valueBytes the largest size of a value, in bytes
 * @property maxOperationsPerTransaction the largest number of puts and deletes in a transaction
 */
data class StateLimits(
    val rps: Double,
    val writeRps: Double,
    val valueBytes: Int,
    val maxOperationsPerTransaction: Int,
) {
    /**
     * Returns the smaller of both values for each limit. Requests that keep to these are valid whichever limits are in
     * force.
     */
    fun smallerOf(other: StateLimits) =
        StateLimits(
            minOf(rps, other.rps),
            minOf(writeRps, other.writeRps),
            minOf(valueBytes, other.valueBytes),
            minOf(maxOperationsPerTransaction, other.maxOperationsPerTransaction),
        )

    /**
     * The largest number of overflow values of a job record, which hold what does not fit in its first value. A job's
     * list of cancelled tasks may have as many. With this bound, the record and the list fit in one transaction
     * together.
     */
    val overflowValues: Int
        get() {
            val byOperations = (maxOperationsPerTransaction - 2) / 2
            val byTransactionSize = TRANSACTION_BYTES / valueBytes / 2 - 1
            return minOf(byOperations, byTransactionSize).coerceAtLeast(0)
        }

    /**
     * How many attempts one job may have at a time, so that its record can be expected to hold them.
     *
     * There is at most one for each of the [machineCount] machines, since more would cost a scheduling cycle too much
     * time. A small fleet may have more tasks than machines, so for it the bound is [MIN_WANTED_ATTEMPTS]. If the
     * limits permit no overflow values, the record is not compressed, provided that the fleet is small or the record
     * then holds enough.
     */
    fun attemptsOfOneJob(machineCount: Int): Int {
        val wanted = maxOf(MIN_WANTED_ATTEMPTS, machineCount)
        val plain = valueBytes / PLAIN_ATTEMPT_BYTES
        val packed = valueBytes * (1 + overflowValues) / PACKED_ATTEMPT_BYTES
        val isPlainEnough = overflowValues == 0 && (wanted <= plain || machineCount <= MIN_WANTED_ATTEMPTS)
        return minOf(wanted, if (isPlainEnough) plain else packed).coerceAtLeast(1)
    }

    /** Sizes of stored values, in bytes. */
    companion object {
        /**
         * The average size of an attempt in an uncompressed record. If the attempts of a job turn out larger and do not
         * fit, [micatally.job.JobStore] ends some that have not been sent yet.
         */
        private const val PLAIN_ATTEMPT_BYTES = 40

        /** The average size of an attempt in a compressed record. */
        private const val PACKED_ATTEMPT_BYTES = 15

        /** The number of attempts that a job may have in a small fleet; see [attemptsOfOneJob]. */
        private const val MIN_WANTED_ATTEMPTS = 400

        /** Room for the values of a transaction: the protocol's limit of 64 KiB, less the conditions and keys. */
        const val TRANSACTION_BYTES = 56 * 1024
    }
}
