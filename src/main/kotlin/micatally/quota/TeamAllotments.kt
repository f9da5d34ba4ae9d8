package micatally.quota

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import micatally.settings.Team

/**
 * One shard's part of a team's limit.
 *
 * @property isStarved its holder has tasks that wait for nothing but the team's limit
 */
data class AllotmentRow(
    val share: Share,
    val isStarved: Boolean,
)

/** The allotments of one team, as its key held them at [modRevision]. */
class TeamAllotments(
    val modRevision: Long,
    private val rows: Map<String, AllotmentRow>,
) {
    /** The row of a shard; an empty one if there is none. */
    fun of(shard: String) = rows[shard] ?: NO_ROW

    fun has(shard: String) = shard in rows

    fun total() = rows.values.fold(Share.NONE) { sum, row -> sum + row.share }

    fun totalOfOthers(shard: String) =
        rows.filterKeys { it != shard }.values.fold(Share.NONE) { sum, row -> sum + row.share }

    fun starvedShards(): Set<String> = rows.filterValues { it.isStarved }.keys

    fun isAnotherStarved(shard: String) = rows.any { (name, row) -> row.isStarved && name != shard }

    /** Whether more is allotted than the team's limit, which was lowered. */
    fun exceedsLimit(team: Team) = !team.covers(team.limit + MARGIN, total())

    /** The value of the team's key with this one row changed. */
    fun encodeWith(
        shard: String,
        row: AllotmentRow,
    ) = JsonObject((rows + (shard to row)).mapValues { (_, each) -> encode(each) })

    companion object {
        private val NO_ROW = AllotmentRow(Share.NONE, false)

        /** A sum may differ from the limit by the rounding of its parts. */
        private val MARGIN = Share(Share.ROUNDING, Share.ROUNDING)

        private const val CORES = 0
        private const val GPUS = 1
        private const val STARVED = 2

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
