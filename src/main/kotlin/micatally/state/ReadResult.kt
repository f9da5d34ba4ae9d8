package micatally.state

sealed interface ReadResult {
    class Found(
        val item: KeyValue,
    ) : ReadResult

    data object Missing : ReadResult

    data object Unavailable : ReadResult
}
