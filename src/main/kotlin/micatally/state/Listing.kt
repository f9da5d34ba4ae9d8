package micatally.state

/**
 * All keys under a prefix.
 *
 * @property revision [items] contains every change up to this revision of the state store, and may contain later ones.
 * A watch from this revision on returns all later changes
 */
class Listing(
    val items: List<KeyValue>,
    val revision: Long,
)

/**
 * The end of one page of a listing.
 *
 * @property lastKey the last key of the page, after which the next page begins; null if the page was empty
 * @property hasMore whether there is another page
 * @property revision the state store's revision at the time of its answer
 */
class PageEnd(
    val lastKey: String?,
    val hasMore: Boolean,
    val revision: Long,
)
