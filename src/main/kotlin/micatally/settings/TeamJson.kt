package micatally.settings

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.wire.numberOrNull
import micatally.wire.text

/** Encodes and decodes a team in the form that the settings file and the state store share. */
object TeamJson {
    /** Encodes all fields, including those that are 0. */
    fun encode(team: Team): JsonObject =
        buildJsonObject {
            put("name", team.name)
            put("cpus", team.cores)
            put("cpus_max", team.coresMax)
            put("gpus", team.gpus)
            put("gpus_max", team.gpusMax)
        }

    /**
     * Decodes a team. A quota field that is missing is 0.
     *
     * @throws micatally.wire.MalformedMessage if a field has the wrong type or the name is missing
     */
    fun decode(row: JsonObject) =
        Team(
            row.text("name"),
            row.numberOrNull("cpus") ?: 0.0,
            row.numberOrNull("cpus_max") ?: 0.0,
            row.numberOrNull("gpus") ?: 0.0,
            row.numberOrNull("gpus_max") ?: 0.0,
        )
}
