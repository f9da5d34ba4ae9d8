package micatally.config

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.settings.Team
import micatally.settings.TeamJson
import micatally.wire.asObject
import micatally.wire.asText
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.longOrNull
import micatally.wire.text
import micatally.wire.textOrNull

/**
 * The stored head of the configuration.
 *
 * @property version the newest change
 * @property snapshot the version of the newest snapshot; changes before it may be gone. 0: none
 * @property snapshotParts into how many values that snapshot is split
 */
class ConfigurationHead(
    val version: Long,
    val snapshot: Long,
    val snapshotParts: Int,
)

/**
 * A change as one stored value.
 *
 * @property parts how many further values hold its teams; 0: they are in the record itself
 * @property stage names those values; no two writes of a change share them
 */
class StoredChange(
    val record: ChangeRecord,
    val parts: Int,
    val stage: String,
)

/** The codec of the values of the configuration in the state store. */
object ChangeCodec {
    fun encode(head: ConfigurationHead): JsonObject =
        buildJsonObject {
            put("n", head.version)
            put("snapshot", head.snapshot)
            put("parts", head.snapshotParts)
        }

    fun head(value: JsonObject) =
        ConfigurationHead(
            value.long("n"),
            value.longOrNull("snapshot") ?: 0L,
            (value.longOrNull("parts") ?: 0L).toInt(),
        )

    /** @param parts how many values under [stage] hold the teams; 0: they go in here */
    fun encode(
        change: ChangeRecord,
        parts: Int = 0,
        stage: String = "",
    ): JsonObject =
        buildJsonObject {
            put("n", change.version)
            put("id", change.id)
            put("author", change.author)
            put("reason", change.reason)
            put("at", change.atMs)
            if (parts > 0) {
                put("parts", parts)
                put("stage", stage)
            } else {
                put("set", JsonArray(change.set.map { TeamJson.encode(it) }))
                put("remove", JsonArray(change.remove.map { JsonPrimitive(it) }))
            }
        }

    /** Changes that were written together share a value. */
    fun group(changes: List<JsonObject>): JsonObject = buildJsonObject { put("changes", JsonArray(changes)) }

    fun changes(group: JsonObject): List<StoredChange> =
        (group.listOrNull("changes") ?: emptyList()).map { change(it.asObject()) }

    private fun change(value: JsonObject): StoredChange =
        StoredChange(
            ChangeRecord(
                value.long("n"),
                value.text("id"),
                value.text("author"),
                value.text("reason"),
                value.long("at"),
                changedTeams(value),
                removedNames(value),
            ),
            (value.longOrNull("parts") ?: 0L).toInt(),
            value.textOrNull("stage") ?: "",
        )

    /** Returns the change with the teams and removals of its [parts]. */
    fun joined(
        stored: StoredChange,
        parts: List<JsonObject>,
    ): ChangeRecord {
        val record = stored.record
        return ChangeRecord(
            record.version,
            record.id,
            record.author,
            record.reason,
            record.atMs,
            parts.flatMap { changedTeams(it) },
            parts.flatMap { removedNames(it) },
        )
    }

    private fun changedTeams(value: JsonObject): List<Team> =
        (value.listOrNull("set") ?: emptyList()).map { TeamJson.decode(it.asObject()) }

    private fun removedNames(value: JsonObject): List<String> =
        (value.listOrNull("remove") ?: emptyList()).map { it.asText() }

    /** Encodes the teams and removals of a change, split into values of at most [valueBytes]. */
    fun parts(
        change: ChangeRecord,
        valueBytes: Int,
    ): List<JsonObject> {
        val rows = change.set.map { "set" to TeamJson.encode(it) } + change.remove.map { "remove" to JsonPrimitive(it) }
        return packRows(rows, valueBytes) { part ->
            buildJsonObject {
                put("set", JsonArray(part.filter { it.first == "set" }.map { it.second }))
                put("remove", JsonArray(part.filter { it.first == "remove" }.map { it.second }))
            }
        }
    }

    /** Encodes a snapshot, split into values of at most [valueBytes]. */
    fun snapshot(
        configuration: Configuration,
        valueBytes: Int,
    ): List<JsonObject> {
        val rows = configuration.allEntries.sortedBy { it.team.name }.map { "entries" to encode(it) }
        return packRows(rows, valueBytes) { part ->
            buildJsonObject { put("entries", JsonArray(part.map { it.second })) }
        }
    }

    fun entries(part: JsonObject): List<TeamEntry> =
        (part.listOrNull("entries") ?: emptyList()).map {
            val row = it.asObject()
            TeamEntry(TeamJson.decode(row), row.longOrNull("removed") == 1L, row.long("n"))
        }

    /** Splits [rows] into values of at most [valueBytes]; a row that is larger by itself gets a value of its own. */
    private fun <T> packRows(
        rows: List<T>,
        valueBytes: Int,
        build: (List<T>) -> JsonObject,
    ): List<JsonObject> {
        val parts = ArrayList<JsonObject>()
        var part = ArrayList<T>()
        var bytes = ENVELOPE_BYTES
        for (row in rows) {
            val size = row.toString().length + 1
            if (part.isNotEmpty() && bytes + size > valueBytes) {
                parts.add(build(part))
                part = ArrayList()
                bytes = ENVELOPE_BYTES
            }
            part.add(row)
            bytes += size
        }
        if (part.isNotEmpty()) parts.add(build(part))
        return parts
    }

    private fun encode(entry: TeamEntry): JsonObject {
        val isRemoved = JsonPrimitive(if (entry.isRemoved) 1 else 0)
        val entryFields = mapOf("n" to JsonPrimitive(entry.changedAt), "removed" to isRemoved)
        return JsonObject(TeamJson.encode(entry.team) + entryFields)
    }

    private const val ENVELOPE_BYTES = 64
}
