package micatally.membership

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.wire.longOrNull
import micatally.wire.textOrNull

/**
 * The leader of a shard, as stored under the shard's key.
 *
 * @property process the process of [host] that acquired the shard; see [LiveController.process]
 * @property fencingToken the fencing token to which the acquisition raised it
 * @property modRevision the revision of the shard's key. Each acquisition changes it, so it identifies the leader's
 * term
 */
class ShardLeader(
    val host: String,
    val process: String,
    val fencingToken: Long,
    val modRevision: Long,
) {
    internal companion object {
        private const val HOST = "host"
        private const val PROCESS = "process"
        private const val FENCING_TOKEN = "epoch"

        fun encode(
            host: String,
            process: String,
            fencingToken: Long,
        ): JsonObject =
            buildJsonObject {
                put(HOST, host)
                put(PROCESS, process)
                put(FENCING_TOKEN, fencingToken)
            }

        fun decode(
            value: JsonObject,
            modRevision: Long,
        ) = ShardLeader(
            value.textOrNull(HOST) ?: "",
            value.textOrNull(PROCESS) ?: "",
            value.longOrNull(FENCING_TOKEN) ?: 0,
            modRevision,
        )
    }
}
