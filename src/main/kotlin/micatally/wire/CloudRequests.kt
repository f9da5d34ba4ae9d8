package micatally.wire

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** The cloud's HTTP interface: paths, request bodies and response bodies. */
object CloudRequests {
    const val MACHINE_TYPES = "/flavors"
    const val MACHINES = "/machines"
    const val DELETE_MACHINES = "/machines/delete"

    /** The cloud's error text contains this if it has no free machine of the requested kind. */
    private const val NO_CAPACITY_TEXT = "no capacity"

    /**
     * The body of a request for [count] machines.
     *
     * @param requestName makes the request idempotent: repeating it under the same name provisions no further machines
     */
    fun provision(
        requestName: String,
        type: String,
        zone: String,
        isSpot: Boolean,
        count: Int,
    ): JsonObject =
        buildJsonObject {
            put("booking", requestName)
            put("rig", type)
            put("circuit", zone)
            put("loaners", isSpot)
            put("count", count)
        }

    /** Names of the machines in the response to [provision]. */
    fun provisionedNames(response: ByteArray): List<String> =
        (parseObject(response).listOrNull("cars") ?: emptyList()).map { it.asText() }

    /** Whether an error response means that the cloud has no free machine of the requested kind, not that it fails. */
    fun isNoCapacity(response: ByteArray): Boolean = NO_CAPACITY_TEXT in response.decodeToString()

    /** The body of a request that deletes machines by name. */
    fun delete(names: List<String>): JsonObject =
        buildJsonObject {
            put("cars", JsonArray(names.map { JsonPrimitive(it) }))
        }
}

/**
 * One page of the cloud's machine list.
 *
 * @property hasMore whether another page follows, which starts after the last of [machines]
 */
class MachinePage(
    val machines: List<ListedMachine>,
    val hasMore: Boolean,
) {
    /** Parses a page. */
    companion object {
        /**
         * Parses a response of the cloud.
         *
         * @throws MalformedMessage if the body is not a page of the list
         */
        fun parse(response: ByteArray): MachinePage {
            val page = parseObject(response)
            val machines = (page.listOrNull("cars") ?: emptyList()).map { ListedMachine.parse(it.asObject()) }
            return MachinePage(machines, page["more"]?.toString() == "true" && machines.isNotEmpty())
        }
    }
}
