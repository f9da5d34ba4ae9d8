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

/** One page of a listing, as the state store sent it. */
class ListingPage(
    val items: List<KeyValue>,
    val hasMore: Boolean,
    val revision: Long,
)

/** The bodies of the state store's HTTP messages. The functions that read one throw [MalformedMessage] if it is not valid. */
object StateStoreMessages {
    private const val NO_SUCH_LEASE = "no such lease"

    /** Request for a lease of [liveMs] milliseconds. */
    fun grantRequest(liveMs: Long): JsonObject = buildJsonObject { put("life_ms", liveMs) }

    /** The id of the granted lease; null if the answer names none. */
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

    /** The keys whose conditions did not hold. */
    fun failedKeys(body: ByteArray): Set<String> =
        (parseObject(body).listOrNull("failed") ?: emptyList()).map { it.asText() }.toSet()

    /** Whether the text of a refusal says that the lease of a write has expired. */
    fun isNoSuchLease(refusal: String): Boolean = NO_SUCH_LEASE in refusal

    /** The answer to the read of one key. */
    fun keyValue(body: ByteArray): KeyValue = keyValue(parseObject(body))

    private fun keyValue(message: JsonObject) =
        KeyValue(message.text("k"), message.child("value") ?: EMPTY_OBJECT, message.long("mark"))

    /** The answer to the request for a page of a listing. */
    fun listingPage(body: ByteArray): ListingPage {
        val message = parseObject(body)
        val items = (message.listOrNull("items") ?: emptyList()).map { keyValue(it.asObject()) }
        val hasMore = message["more"]?.toString() == "true" && items.isNotEmpty()
        return ListingPage(items, hasMore, message.long("odometer"))
    }

    /** The answer to a watch. */
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
