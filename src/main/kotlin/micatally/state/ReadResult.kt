package micatally.state

/** The outcome of reading one key. */
sealed interface ReadResult {
    /** The key exists. */
    class Found(
        val item: KeyValue,
    ) : ReadResult

    /** The key does not exist. */
    data object Missing : ReadResult

    /** There is no valid answer. */
    data object Unavailable : ReadResult
}
