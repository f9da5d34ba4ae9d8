package micatally.quota

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import micatally.settings.Team

/**
 * The row of one shard in a team's key: the part of the team's limit that is allotted to the shard.
 *
 * @property isStarved whether the shard has tasks that wait only because the team's limit has no free capacity
 */
data class AllotmentRow(
    val share: Share,
    val isStarved: Boolean,
)

/** The allotments of one team by shard, as the team's key held them at revision [modRevision]. */
class TeamAllotments(
    val modRevision: Long,
    private val rows: Map<String, AllotmentRow>,
) {
    /** Returns the row of the shard, or an empty row if there is none. */
    fun of(shard: String) = rows[shard] ?: NO_ROW

    /** Whether there is a row for the shard, even if it is empty. */
    fun has(shard: String) = shard in rows

    /** Returns the sum of all shards' shares. */
    fun total() = rows.values.fold(Share.NONE) { sum, row -> sum + row.share }

    /** Returns the sum of the shares of all shards except [shard]. */
    fun totalOfOthers(shard: String) =
        rows.filterKeys { it != shard }.values.fold(Share.NONE) { sum, row -> sum + row.share }

    /** Returns the names of all starved shards. */
    fun starvedShards(): Set<String> = rows.filterValues { it.isStarved }.keys

    /** Whether some shard other than [shard] is starved. */
    fun isAnotherStarved(shard: String) = rows.any { (name, row) -> row.isStarved && name != shard }

    /** Whether more than the team's limit is allotted, which happens after the limit was lowered. */
    fun exceedsLimit(team: Team) = !team.covers(team.limit + MARGIN, total())

    /** Returns the value of the team's key with the row of [shard] replaced by [row]. */
    fun encodeWith(
        shard: String,
        row: AllotmentRow,
    ) = JsonObject((rows + (shard to row)).mapValues { (_, each) -> encode(each) })

    /** Encodes and decodes the value of a team's key. */
    companion object {
        private val NO_ROW = AllotmentRow(Share.NONE, false)

        /** The sum of the shares may differ from the limit by rounding. */
        private val MARGIN = Share(Share.ROUNDING, Share.ROUNDING)

        private const val CORES = 0
        private const val GPUS = 1
        private const val STARVED = 2

        /**
         * Decodes the value of a team's key. A null [value] stands for a key that does not exist. Unreadable numbers
         * are read as 0.
         */
        fun decode(
            modRevision: Long,
            value: JsonObject?,
        ) = TeamAllotments(modRevision, value?.mapValues { (_, row) -> decodeRow(row as JsonArray) } ?: emptyMap())

        private fun decodeRow(row: JsonArray): AllotmentRow {
            fun number(index: Int) = (row.getOrNull(index) as? JsonPrimitive)?.doubleOrNull ?: 0.0
            return AllotmentRow(Share(number(CORES), number(GPUS)), number(STARVED) > 0)
        }

        private fun encode(row: AllotmentRow) =
            JsonArray(
                listOfNotNull(
                    JsonPrimitive(row.share.cores),
                    JsonPrimitive(row.share.gpus),
                    if (row.isStarved) JsonPrimitive(1) else null,
                ),
            )
    }
}
