package micatally.state

/** All keys under a prefix. A watch from [revision] on shows every change that [items] may lack. */
class Listing(
    val items: List<KeyValue>,
    val revision: Long,
)

/**
 * The end of one page of a listing.
 *
 * @property lastKey the next page begins behind this key; null: the page was empty
 * @property revision the state store's revision when it answered
 */
class PageEnd(
    val lastKey: String?,
    val hasMore: Boolean,
    val revision: Long,
)
