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
 * @property process names one process of the host, so that a restarted controller does not take its predecessor's entries for
 * its own
 * @property movesRecords whether this process moves finished jobs' records to the archive
 */
internal class LiveController(
    val process: String,
    private val movesRecords: Boolean,
) {
    /** The stored form. It also names the newest format that this program reads; see [UpgradePlan]. */
    fun encode(): JsonObject =
        buildJsonObject {
            put(PROCESS, process)
            put(UpgradePlan.FORMAT_FIELD, FormatVersion.CURRENT)
            if (movesRecords) put(ArchivePlan.LIVE_FIELD, 1)
        }

    companion object {
        private const val PROCESS = "process"

        /** The process that wrote [value]. */
        fun processOf(value: JsonObject): String? = value.textOrNull(PROCESS)
    }
}
