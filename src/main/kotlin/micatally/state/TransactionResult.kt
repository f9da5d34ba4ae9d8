package micatally.state

sealed interface TransactionResult {
    class Applied(
        val revision: Long,
    ) : TransactionResult

    /** The keys whose marks did not hold. Nothing was changed. */
    class Failed(
        val keys: Set<String>,
    ) : TransactionResult

    data object NoSuchLease : TransactionResult

    /** Certainly not carried out: refused (503) or never sent. */
    data object Refused : TransactionResult

    /** Certainly not carried out: over the limits. */
    data object Limited : TransactionResult

    /** Certainly not carried out: larger than the service allows. */
    data object TooLarge : TransactionResult

    /** Perhaps carried out, perhaps carried out later. */
    data object Unknown : TransactionResult
}
