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

/** Base64 turns so many bytes into [BASE64_CHARACTERS]. */
internal const val BASE64_BYTES = 3
internal const val BASE64_CHARACTERS = 4

/** The partition, of [partitionCount], that a machine belongs to. */
internal fun partitionOf(
    machineName: String,
    partitionCount: Int,
) = Math.floorMod(machineName.hashCode(), partitionCount)

/**
 * A list with entries by machine in the state store.
 *
 * Values have a maximum size, so the list is split by a hash of the machine's name into as many partitions as it takes for
 * each to fit. Only partitions that have changed are written. The number of partitions never decreases.
 *
 * @param valueBytes the largest value that the state store takes
 * @param key prefix of the keys: a slash and the partition's index are appended
 */
internal class SummaryPartitions(
    private val state: StateStoreClient,
    private val valueBytes: Int,
    private val key: String,
) {
    var partitionCount = 1
        private set

    private var nextPartition = 0

    /** What each partition said when it was written last, by index. */
    private val writtenContents = HashMap<Int, Any>()

    /** Makes all partitions due again, changed or not. */
    fun forgetWritten() = writtenContents.clear()

    /**
     * Writes up to [maxWrites] of the partitions that have changed, and waits for the state store.
     *
     * @param machineNames machines in the list
     * @param contentOf what a partition with these machines says, for comparison with what was written last
     * @param encode the stored form of a partition with these machines; may be called several times for each
     */
    suspend fun write(
        machineNames: Collection<String>,
        maxWrites: Int,
        contentOf: (partitionIndex: Int, machineNames: List<String>) -> Any,
        encode: (partitionIndex: Int, machineNames: List<String>) -> ByteArray,
    ) {
        val partitions = split(machineNames, encode)
        var remainingWrites = maxWrites
        // Round robin, so that each partition has its turn when only some may be written.
        val order = partitions.indices.sortedBy { Math.floorMod(it - nextPartition, partitions.size) }
        for (index in order) {
            val content = contentOf(index, partitions[index])
            if (writtenContents[index] == content) continue
            if (remainingWrites-- <= 0) return
            val isWritten = writeOne(index) { encode(index, partitions[index]) }
            if (isWritten) writtenContents[index] = content
            nextPartition = index + 1
        }
    }

    /** Doubles the number of partitions until each fits in a value or has a single machine. */
    private fun split(
        machineNames: Collection<String>,
        encode: (partitionIndex: Int, machineNames: List<String>) -> ByteArray,
    ): List<List<String>> {
        while (true) {
            val partitions =
                List(partitionCount) { index -> machineNames.filter { partitionOf(it, partitionCount) == index } }
            val doAllFit = partitions.withIndex().all { (index, names) -> names.size < 2 || fits(encode(index, names)) }
            if (doAllFit) return partitions
            partitionCount *= 2
            writtenContents.clear()
        }
    }

    /**
     * Returns whether the partition was stored. Its content changes while it waits for its turn, so it is encoded only when
     * the request leaves. One that has outgrown its value is left to the next [write], when all are measured again.
     */
    private suspend fun writeOne(
        partitionIndex: Int,
        encode: () -> ByteArray,
    ): Boolean {
        val result =
            state.transact(1, Urgency.SUMMARY) {
                val bytes = encode()
                if (fits(bytes)) Transaction(emptyList(), listOf(Put("$key/$partitionIndex", pack(bytes)))) else null
            }
        return result is TransactionResult.Applied
    }

    /** Whether the bytes fit in a value as base64, with the JSON object around them. */
    private fun fits(bytes: ByteArray) = bytes.size * BASE64_CHARACTERS / BASE64_BYTES + ENVELOPE_BYTES <= valueBytes

    companion object {
        private const val ENVELOPE_BYTES = 64
        private const val BYTES_FIELD = "b"

        private fun pack(bytes: ByteArray): JsonObject =
            buildJsonObject {
                put(BYTES_FIELD, Base64.getEncoder().encodeToString(bytes))
            }

        /** The bytes of a stored partition; null if the value has none. */
        fun unpack(value: JsonObject): ByteArray? =
            value.textOrNull(BYTES_FIELD)?.let { Base64.getDecoder().decode(it) }
    }
}
