package micatally.wire

import kotlinx.serialization.json.JsonObject

/** A machine type of the cloud's. */
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
    fun price(isSpot: Boolean) = if (isSpot) spotHourly else hourly

    companion object {
        fun parseAll(o: JsonObject): List<MachineType> =
            (o.listOrNull("chassis") ?: throw MalformedMessage("chassis is missing")).map {
                val f = it.asObject()
                MachineType(
                    f.text("label"),
                    Resources(f.number("cores"), f.numberOrNull("cards") ?: 0.0, f.number("ram_gb")),
                    f.numberOrNull("local_gb") ?: 0.0,
                    f.numberOrNull("pull_gb_per_s") ?: 1.0,
                    f.number("hourly"),
                    f.numberOrNull("spot_price") ?: f.number("hourly"),
                    f.numberOrNull("ready_s") ?: 0.0,
                    (f.listOrNull("circuits") ?: emptyList()).map { z -> z.asText() },
                )
            }
    }
}

/** A line of the cloud's machine list. */
class ListedMachine(
    val name: String,
    val addr: String,
    val type: String,
    val zone: String,
    val isSpot: Boolean,
    val status: String,
    val ageS: Double,
) {
    companion object {
        const val STARTING = "starting"
        const val RUNNING = "running"
        const val FAILED = "failed"

        fun parse(o: JsonObject) =
            ListedMachine(
                o.text("ref"),
                o.textOrNull("addr") ?: "",
                o.text("rig"),
                o.text("circuit"),
                o.flag("loaners"),
                o.text("status"),
                o.numberOrNull("held_s") ?: 0.0,
            )
    }
}
