package micatally.membership

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.archive.ArchivePlan
import micatally.upgrade.FormatVersion
import micatally.upgrade.UpgradePlan
import micatally.wire.textOrNull

/**
 * The value of a controller's live key.
 *
 * @property process identifies this process. A restarted controller has another one, so that it does not take the
 * entries of the earlier process for its own
 * @property movesRecords whether this process moves finished jobs' records to the archive
 */
internal class LiveController(
    val process: String,
    private val movesRecords: Boolean,
) {
    /** Returns the value to store. It also holds the newest format that this program reads; see [UpgradePlan]. */
    fun encode(): JsonObject =
        buildJsonObject {
            put(PROCESS, process)
            put(UpgradePlan.FORMAT_FIELD, FormatVersion.CURRENT)
            if (movesRecords) put(ArchivePlan.LIVE_FIELD, 1)
        }

    companion object {
        private const val PROCESS = "process"

        /** Returns the process that wrote [value], or null if the value does not name it. */
        fun processOf(value: JsonObject): String? = value.textOrNull(PROCESS)
    }
}
