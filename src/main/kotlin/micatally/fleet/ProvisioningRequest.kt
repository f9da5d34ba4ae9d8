package micatally.fleet

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.wire.asText
import micatally.wire.flag
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.text

/**
 * A request for machines. It is in the state store from before it is sent to the cloud until its machines are up.
 *
 * @property name identifies the request; never reused, since the cloud responds to a repeated name as it did before
 * @property count how many machines were requested
 * @property machines names of the machines that the cloud has provisioned; empty before it has responded. Controllers
 * of a version that does not read this field repeat the request.
 */
data class ProvisioningRequest(
    val name: String,
    val offer: Offer,
    val count: Int,
    val machines: List<String> = emptyList(),
) {
    /** A copy of the request with the machines that the cloud has provisioned for it. */
    fun withMachines(names: List<String>) = copy(machines = names)

    /** The stored form. */
    fun toJson(): JsonObject =
        buildJsonObject {
            put(TYPE, offer.type)
            put(ZONE, offer.zone)
            put(SPOT, offer.isSpot)
            put(COUNT, count)
            if (machines.isNotEmpty()) put(MACHINES, JsonArray(machines.map { JsonPrimitive(it) }))
        }

    /** The field names of the stored form, and its reader. */
    companion object {
        private const val TYPE = "rig"
        private const val ZONE = "circuit"
        private const val SPOT = "loaners"
        private const val COUNT = "count"
        private const val MACHINES = "cars"

        /** Reads the stored form of the request called [name]. */
        fun parse(
            name: String,
            stored: JsonObject,
        ) = ProvisioningRequest(
            name,
            Offer(stored.text(TYPE), stored.text(ZONE), stored.flag(SPOT)),
            stored.long(COUNT).toInt(),
            (stored.listOrNull(MACHINES) ?: emptyList()).map { it.asText() },
        )
    }
}
