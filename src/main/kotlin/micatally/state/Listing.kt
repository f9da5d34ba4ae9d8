package micatally.state

class Listing(
    val items: List<KeyValue>,
    val revision: Long,
)

/** Where a page of a listing ended. */
class PageEnd(
    val lastKey: String?,
    val hasMore: Boolean,
    val revision: Long,
)
