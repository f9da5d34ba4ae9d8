package micatally.config

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import micatally.settings.nearestName
import micatally.wire.ConfigurationChange
import micatally.wire.LineError
import micatally.wire.MalformedMessage
import micatally.wire.TeamSetting
import micatally.wire.asObject
import micatally.wire.asText
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.numberOrNull
import micatally.wire.parseObject
import micatally.wire.text

/** Thrown for an invalid change file. [errors] lists every error in the file. */
class ChangeFileError(
    val errors: List<LineError>,
) : Exception(errors.joinToString("; ") { "${it.team} ${it.message}".trim() })

/**
 * Parser of the file for `micatally config apply`. It is a JSON object with the fields `base`, `author`, `reason`,
 * `teams` (objects with `name`, `cpus`, `cpus_max`, `gpus` and `gpus_max`, as in the settings file) and `remove` (names
 * of teams).
 */
object ChangeFile {
    private val FIELDS = listOf("base", "author", "reason", "teams", "remove")
    private val QUOTA_FIELDS = listOf("cpus", "cpus_max", "gpus", "gpus_max")
    private val TEAM_FIELDS = listOf("name") + QUOTA_FIELDS

    /**
     * Parses a change file.
     *
     * @param id the id of the change, see [ConfigurationChange.id]
     * @throws ChangeFileError if the file has errors
     */
    fun parse(
        body: ByteArray,
        id: String,
        isDryRun: Boolean,
    ): ConfigurationChange {
        val errors = ArrayList<LineError>()
        val file = parseOrNull(errors, "") { parseObject(body) } ?: throw ChangeFileError(errors)
        unknownFieldErrors(file, FIELDS).forEach { errors.add(LineError("", it)) }
        val base = parseOrNull(errors, "") { file.long("base") }
        val author = parseOrNull(errors, "") { file.text("author") }
        val reason = parseOrNull(errors, "") { file.text("reason") }
        val rows = parseOrNull(errors, "") { file.listOrNull("teams") ?: emptyList() } ?: emptyList()
        val teams = rows.mapIndexedNotNull { index, row -> team(row, index, errors) }
        val removed = parseOrNull(errors, "") { file.listOrNull("remove") ?: emptyList() } ?: emptyList()
        val names = removed.mapNotNull { parseOrNull(errors, "remove") { it.asText() } }
        if (errors.isNotEmpty()) throw ChangeFileError(errors)
        return ConfigurationChange(id, base!!, author!!, reason!!, teams, names, isDryRun)
    }

    private fun team(
        row: JsonElement,
        index: Int,
        errors: MutableList<LineError>,
    ): TeamSetting? {
        val line = "teams[$index]"
        val fields = parseOrNull(errors, line) { row.asObject() } ?: return null
        unknownFieldErrors(fields, TEAM_FIELDS).forEach { errors.add(LineError(line, it)) }
        val name = parseOrNull(errors, line) { fields.text("name") }

        fun number(field: String) = parseOrNull(errors, name ?: line) { fields.numberOrNull(field) ?: 0.0 }
        val numbers = HashMap<String, Double>()
        for (field in QUOTA_FIELDS) number(field)?.let { numbers[field] = it }
        if (name == null || numbers.size < QUOTA_FIELDS.size) return null
        return TeamSetting(
            name,
            cores = numbers.getValue("cpus"),
            coresMax = numbers.getValue("cpus_max"),
            gpus = numbers.getValue("gpus"),
            gpusMax = numbers.getValue("gpus_max"),
        )
    }

    private fun unknownFieldErrors(
        fields: JsonObject,
        known: List<String>,
    ): List<String> =
        fields.keys.filter { it !in known }.map { "unknown field $it; did you mean ${nearestName(it, known)}?" }

    private fun <T> parseOrNull(
        errors: MutableList<LineError>,
        line: String,
        read: () -> T,
    ): T? =
        try {
            read()
        } catch (error: MalformedMessage) {
            errors.add(LineError(line, error.message ?: "can't be read"))
            null
        }
}
