package micatally.peer

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.wire.textOrNull
import java.util.Base64

/** The piece of a list that a machine belongs to, of [partitionCount]. */
internal fun partitionOf(
    machine: String,
    partitionCount: Int,
) = Math.floorMod(machine.hashCode(), partitionCount)

/**
 * A list by machine in the state service. Values have a limit, so it goes in pieces, as many as it takes for each to fit;
 * only pieces that have changed are written.
 *
 * @param key the piece's number is appended to it
 */
internal class SummaryPartitions(
    private val state: StateStoreClient,
    private val valueBytes: Int,
    private val key: String,
) {
    var partitionCount = 1
        private set
    private var nextPiece = 0
    private val written = HashMap<Int, Any>()

    /** What was written counts for nothing any more: all pieces are due again. */
    fun forgetWritten() = written.clear()

    /**
     * Writes up to [most] of the pieces that have changed.
     *
     * @param seen what a piece says, to be compared with what was written last
     * @param encode a piece of these machines as it is stored
     */
    suspend fun write(
        names: Collection<String>,
        most: Int,
        seen: (Int, List<String>) -> Any,
        encode: (Int, List<String>) -> ByteArray,
    ) {
        var parts: List<List<String>>
        var left = most
        while (true) {
            parts = List(partitionCount) { i -> names.filter { partitionOf(it, partitionCount) == i } }
            if (parts.withIndex().all { (i, p) -> p.size < 2 || fits(encode(i, p)) }) break
            partitionCount *= 2
            written.clear()
        }
        // Goes round, so that each piece has its turn when only some may be written.
        val order = parts.indices.sortedBy { Math.floorMod(it - nextPiece, parts.size) }
        for (i in order) {
            val machines = parts[i]
            val now = seen(i, machines)
            if (written[i] == now) continue
            if (left-- <= 0) return
            // What is told changes while the piece waits for its turn; one that has outgrown its value is left to the
            // next time, when the pieces are measured again.
            val result =
                state.transact(1, Urgency.SUMMARY) {
                    encode(
                        i,
                        machines,
                    ).takeIf(::fits)?.let { Transaction(emptyList(), listOf(Put("$key/$i", packed(it)))) }
                }
            if (result is TransactionResult.Applied) written[i] = now
            nextPiece = i + 1
        }
    }

    /** Whether the bytes fit in a value as text, with the names around it. */
    private fun fits(bytes: ByteArray) = bytes.size * 4 / 3 + ENVELOPE_BYTES <= valueBytes

    private fun packed(bytes: ByteArray): JsonObject =
        buildJsonObject {
            put("b", Base64.getEncoder().encodeToString(bytes))
        }

    companion object {
        private const val ENVELOPE_BYTES = 64

        /** The bytes of a stored partition; null if the value has none. */
        fun unpack(value: JsonObject): ByteArray? = value.textOrNull("b")?.let { Base64.getDecoder().decode(it) }
    }
}
