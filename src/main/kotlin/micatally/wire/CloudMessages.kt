package micatally.wire

import kotlinx.serialization.json.JsonObject

/**
 * A machine type that the cloud offers. Sent by the cloud's API, as an entry of its list of machine types.
 *
 * @property label name of the type in jobs and in requests to the cloud
 * @property resources capacity of an instance
 * @property cacheGb local disk space for images, in gigabytes
 * @property pullGbPerS nominal rate at which images are pulled, in gigabytes per second
 * @property hourly price of an hour of an on-demand instance
 * @property spotHourly price of an hour of a spot instance; equal to [hourly] if the cloud gives none
 * @property readyS time that an instance takes to boot, in seconds
 * @property zones zones in which the type is offered
 */
class MachineType(
    val label: String,
    val resources: Resources,
    val cacheGb: Double,
    val pullGbPerS: Double,
    val hourly: Double,
    val spotHourly: Double,
    val readyS: Double,
    val zones: List<String>,
) {
    /** Price of an hour of a spot instance if [isSpot], else of an on-demand instance. */
    fun price(isSpot: Boolean) = if (isSpot) spotHourly else hourly

    /** Parses the cloud's list of machine types. */
    companion object {
        /** @throws MalformedMessage naming the first field that is missing or wrong */
        fun parseAll(response: JsonObject): List<MachineType> {
            val types = response.listOrNull("chassis") ?: throw MalformedMessage("chassis is missing")
            return types.map { parse(it.asObject()) }
        }

        private fun parse(json: JsonObject) =
            MachineType(
                json.text("label"),
                Resources(json.number("cores"), json.numberOrNull("cards") ?: 0.0, json.number("ram_gb")),
                json.numberOrNull("local_gb") ?: 0.0,
                json.numberOrNull("pull_gb_per_s") ?: 1.0,
                json.number("hourly"),
                json.numberOrNull("spot_price") ?: json.number("hourly"),
                json.numberOrNull("ready_s") ?: 0.0,
                (json.listOrNull("circuits") ?: emptyList()).map { zone -> zone.asText() },
            )
    }
}

/**
 * An instance in the cloud's list of provisioned instances. Sent by the cloud's API.
 *
 * @property addr host and port of its worker; empty until the instance has an address
 * @property type label of its [MachineType]
 * @property status [STARTING], [RUNNING] or [FAILED]
 * @property ageS time since it was provisioned, in seconds
 */
class ListedMachine(
    val name: String,
    val addr: String,
    val type: String,
    val zone: String,
    val isSpot: Boolean,
    val status: String,
    val ageS: Double,
) {
    /** The values of [status] and the parser of a list entry. */
    companion object {
        const val STARTING = "starting"
        const val RUNNING = "running"
        const val FAILED = "failed"

        /** @throws MalformedMessage naming the first field that is missing or wrong */
        fun parse(json: JsonObject) =
            ListedMachine(
                json.text("ref"),
                json.textOrNull("addr") ?: "",
                json.text("rig"),
                json.text("circuit"),
                json.flag("loaners"),
                json.text("status"),
                json.numberOrNull("held_s") ?: 0.0,
            )
    }
}
