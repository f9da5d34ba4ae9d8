package micatally.state

/** The outcome of reading one key. */
sealed interface ReadResult {
    /** The key exists. */
    class Found(
        val item: KeyValue,
    ) : ReadResult

    /** The key does not exist. */
    data object Missing : ReadResult

    /** The state store gave no valid answer: it is not known whether the key exists. */
    data object Unavailable : ReadResult
}
