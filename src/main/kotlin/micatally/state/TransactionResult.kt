package micatally.state

/** The outcome of a [Transaction]. */
sealed interface TransactionResult {
    /** The transaction was applied, at [revision] of the state store. */
    class Applied(
        val revision: Long,
    ) : TransactionResult

    /** Not applied: the conditions on [keys] did not hold. */
    class Failed(
        val keys: Set<String>,
    ) : TransactionResult

    /** Not applied: the lease of a [Put] has expired. */
    data object NoSuchLease : TransactionResult

    /** Not applied: the state store was unavailable, or the request was never sent. */
    data object Refused : TransactionResult

    /** Not applied: the request exceeded a rate limit. */
    data object Limited : TransactionResult

    /** Not applied: the transaction or a value in it is larger than the state store allows. */
    data object TooLarge : TransactionResult

    /** There is no valid answer: the transaction may have been applied, or may still be applied later. */
    data object Unknown : TransactionResult
}
