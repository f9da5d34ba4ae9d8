package micatally.wire

import kotlinx.serialization.json.JsonObject

/**
 * A machine type that the cloud offers. Sent by the cloud's API, as an entry of its list of machine types.
 *
 * @property cacheGb local space for images, in gigabytes
 * @property pullGbPerS nominal rate at which images are pulled, in gigabytes a second
 * @property hourly price of an hour of an on-demand instance
 * @property spotHourly price of an hour of a spot instance; that of an on-demand instance if the cloud names none
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
    /** Price of an hour. */
    fun price(isSpot: Boolean) = if (isSpot) spotHourly else hourly

    /** Reads the cloud's list of machine types. */
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
 * An instance in the cloud's list of rented instances. Sent by the cloud's API.
 *
 * @property addr host and port of its worker; empty until it has one
 * @property type label of its [MachineType]
 * @property status [STARTING], [RUNNING] or [FAILED]
 * @property ageS time since it was rented, in seconds
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
    /** The values of [status], and reading an entry. */
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
