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
 * The head of the stored configuration. It states which version and which snapshot are the newest.
 *
 * @property version the version of the newest change
 * @property snapshot the version of the newest snapshot, or 0 if there is none; changes before it may have been pruned
 * @property snapshotParts the number of values that hold this snapshot
 */
class ConfigurationHead(
    val version: Long,
    val snapshot: Long,
    val snapshotParts: Int,
)

/**
 * A change as read from the state store.
 *
 * @property record the change; its teams and removals are empty if they are stored as parts
 * @property parts the number of separate values that hold the teams and removals; 0 if they are in [record] itself
 * @property stage the name under which the parts are stored, unique for each attempt to write a change; empty if there
 * are no parts
 */
class StoredChange(
    val record: ChangeRecord,
    val parts: Int,
    val stage: String,
)

/** Encodes and decodes the values of the configuration in the state store. */
object ChangeCodec {
    /** Encodes the head. */
    fun encode(head: ConfigurationHead): JsonObject =
        buildJsonObject {
            put("n", head.version)
            put("snapshot", head.snapshot)
            put("parts", head.snapshotParts)
        }

    /** Decodes the head. */
    fun head(value: JsonObject) =
        ConfigurationHead(
            value.long("n"),
            value.longOrNull("snapshot") ?: 0L,
            (value.longOrNull("parts") ?: 0L).toInt(),
        )

    /**
     * Encodes a change.
     *
     * @param parts the number of values under [stage] that hold the teams and removals; 0 to encode them in this value
     */
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

    /** Returns the one value for a batch of encoded changes, which are committed together. */
    fun group(changes: List<JsonObject>): JsonObject = buildJsonObject { put("changes", JsonArray(changes)) }

    /** Decodes the changes of a batch. */
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

    /** Returns the complete change, with the teams and removals that its [parts] hold. */
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

    /** Decodes the teams in one value of a snapshot. */
    fun entries(part: JsonObject): List<TeamEntry> =
        (part.listOrNull("entries") ?: emptyList()).map {
            val row = it.asObject()
            TeamEntry(TeamJson.decode(row), row.longOrNull("removed") == 1L, row.long("n"))
        }

    /**
     * Distributes [rows] over values of at most [valueBytes]. A row that is larger than that by itself gets a value of
     * its own.
     */
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

    /** Bytes of a value that are reserved for the JSON around its rows. */
    private const val ENVELOPE_BYTES = 64
}
