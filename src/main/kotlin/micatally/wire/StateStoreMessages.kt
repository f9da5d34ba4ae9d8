package micatally.wire

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.state.Compare
import micatally.state.Delete
import micatally.state.KeyValue
import micatally.state.Put
import micatally.state.Transaction
import micatally.state.WatchEvent
import micatally.state.WatchEvents
import micatally.state.Write

/**
 * One page of a listing, as the state store sent it.
 *
 * @property hasMore whether another page follows, which starts after the last of [items]
 * @property revision the store's revision at which the page was read
 */
class ListingPage(
    val items: List<KeyValue>,
    val hasMore: Boolean,
    val revision: Long,
)

/**
 * Encodes and parses the bodies of the state store's HTTP messages. Parsing throws [MalformedMessage] if a body is
 * invalid.
 */
object StateStoreMessages {
    private const val NO_SUCH_LEASE = "no such lease"

    /** Request for a lease that lasts [lifetimeMs] milliseconds without renewal. */
    fun grantRequest(lifetimeMs: Long): JsonObject = buildJsonObject { put("life_ms", lifetimeMs) }

    /** The id of the granted lease; null if the response contains none. */
    fun grantedLease(body: ByteArray): Long? = parseObject(body).longOrNull("permit")

    /** Request to carry out [transaction]. */
    fun transactionRequest(transaction: Transaction): JsonObject =
        buildJsonObject {
            put("when", JsonArray(transaction.conditions.map { condition(it) }))
            put("then", JsonArray(transaction.changes.map { change(it) }))
        }

    private fun condition(compare: Compare): JsonObject =
        buildJsonObject {
            put("k", compare.key)
            put("mark", compare.modRevision)
        }

    private fun change(write: Write): JsonObject =
        buildJsonObject {
            when (write) {
                is Put -> {
                    put("put", write.key)
                    put("value", write.value)
                    if (write.lease != null) put("permit", write.lease)
                }
                is Delete -> put("delete", write.key)
            }
        }

    /** The revision at which a transaction was carried out. */
    fun appliedRevision(body: ByteArray): Long = parseObject(body).long("odometer")

    /** The keys of a failed transaction whose conditions did not hold. */
    fun failedKeys(body: ByteArray): Set<String> =
        (parseObject(body).listOrNull("failed") ?: emptyList()).map { it.asText() }.toSet()

    /** Whether the error text of a refused transaction says that the lease of one of its writes has expired. */
    fun isNoSuchLease(refusal: String): Boolean = NO_SUCH_LEASE in refusal

    /** Parses the response to the read of one key. */
    fun keyValue(body: ByteArray): KeyValue = keyValue(parseObject(body))

    private fun keyValue(message: JsonObject) =
        KeyValue(message.text("k"), message.child("value") ?: EMPTY_OBJECT, message.long("mark"))

    /** Parses the response to the request for a page of a listing. */
    fun listingPage(body: ByteArray): ListingPage {
        val message = parseObject(body)
        val items = (message.listOrNull("items") ?: emptyList()).map { keyValue(it.asObject()) }
        val hasMore = message["more"]?.toString() == "true" && items.isNotEmpty()
        return ListingPage(items, hasMore, message.long("odometer"))
    }

    /** Parses the response to a watch. */
    fun watchEvents(body: ByteArray): WatchEvents {
        val message = parseObject(body)
        val revision = message.long("odometer")
        val events = (message.listOrNull("news") ?: emptyList()).map { watchEvent(it.asObject()) }
        return WatchEvents(revision, events)
    }

    private fun watchEvent(message: JsonObject): WatchEvent {
        val writtenKey = message.textOrNull("put")
        return if (writtenKey != null) {
            WatchEvent(writtenKey, message.child("value") ?: EMPTY_OBJECT, message.long("mark"))
        } else {
            WatchEvent(message.text("delete"), null, message.long("mark"))
        }
    }
}
