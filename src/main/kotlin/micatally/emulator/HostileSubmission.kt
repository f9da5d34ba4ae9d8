package micatally.emulator

import kotlinx.serialization.json.JsonObject
import micatally.wire.bytes

/** Bodies as a user may send them to harm a controller. */
object HostileSubmission {
    /** Nested lists of this depth take a third of the largest request body. */
    private const val DEPTH = 12_000

    /** The submission [job] with a deeply nested value in a field that the protocol does not know. It has to be ignored. */
    fun withDeepField(job: JsonObject): ByteArray {
        val value = "[".repeat(DEPTH) + "]".repeat(DEPTH)
        return "{\"x_tree\":$value,".encodeToByteArray() + job.bytes().drop(1)
    }
}
