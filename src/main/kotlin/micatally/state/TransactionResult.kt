package micatally.state

/** What became of a [Transaction]. */
sealed interface TransactionResult {
    /** Carried out, at this revision of the state store. */
    class Applied(
        val revision: Long,
    ) : TransactionResult

    /** Not carried out: the conditions on [keys] did not hold. */
    class Failed(
        val keys: Set<String>,
    ) : TransactionResult

    /** Not carried out: the lease of a [Put] has expired. */
    data object NoSuchLease : TransactionResult

    /** Not carried out: the state store was unavailable, or the request was never sent. */
    data object Refused : TransactionResult

    /** Not carried out: over the rate limits. */
    data object Limited : TransactionResult

    /** Not carried out: larger than the state store allows. */
    data object TooLarge : TransactionResult

    /** There is no valid answer: the transaction may have been carried out, or may be carried out later. */
    data object Unknown : TransactionResult
}
