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
 * A request for machines as it is stored in the state store, from before the cloud receives it until its machines are up.
 *
 * @property name never used again, since the cloud answers a repeated request as before
 * @property count how many machines were asked for
 * @property machines names of the machines that the cloud has provisioned; empty before it has answered. Versions that don't know
 * the field ask the cloud again.
 */
data class ProvisioningRequest(
    val name: String,
    val offer: Offer,
    val count: Int,
    val machines: List<String> = emptyList(),
) {
    /** The request as answered by the cloud. */
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
