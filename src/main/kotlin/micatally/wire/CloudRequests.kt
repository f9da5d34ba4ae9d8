package micatally.wire

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** The cloud's HTTP interface: paths, bodies of requests and bodies of answers. */
object CloudRequests {
    const val MACHINE_TYPES = "/flavors"
    const val MACHINES = "/machines"
    const val DELETE_MACHINES = "/machines/delete"

    /** Part of the error text with which the cloud says that it has no machine of the kind that was asked for. */
    private const val NO_CAPACITY_TEXT = "no capacity"

    /**
     * The body that asks for [count] machines.
     *
     * @param requestName repeating a request under the same name provisions nothing twice
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

    /** Names of the machines in the answer to [provision]. */
    fun provisionedNames(answer: ByteArray): List<String> =
        (parseObject(answer).listOrNull("cars") ?: emptyList()).map { it.asText() }

    /** Whether the error text of an unavailable cloud says that it has no free machine, rather than that it is in trouble. */
    fun isNoCapacity(answer: ByteArray): Boolean = NO_CAPACITY_TEXT in answer.decodeToString()

    /** The body that deletes machines by name. */
    fun delete(names: List<String>): JsonObject =
        buildJsonObject {
            put("cars", JsonArray(names.map { JsonPrimitive(it) }))
        }
}

/**
 * One page of the cloud's machine list.
 *
 * @property hasMore whether another page follows, from behind the last of [machines]
 */
class MachinePage(
    val machines: List<ListedMachine>,
    val hasMore: Boolean,
) {
    /** Its reader. */
    companion object {
        /**
         * Reads an answer of the cloud.
         *
         * @throws MalformedMessage if the body is not a page of the list
         */
        fun parse(answer: ByteArray): MachinePage {
            val page = parseObject(answer)
            val machines = (page.listOrNull("cars") ?: emptyList()).map { ListedMachine.parse(it.asObject()) }
            return MachinePage(machines, page["more"]?.toString() == "true" && machines.isNotEmpty())
        }
    }
}
