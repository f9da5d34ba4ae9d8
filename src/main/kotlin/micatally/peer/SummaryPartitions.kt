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

/** Base64 encodes this many bytes as [BASE64_CHARACTERS] characters. */
internal const val BASE64_BYTES = 3
internal const val BASE64_CHARACTERS = 4

/** The index of the partition, out of [partitionCount], that a machine belongs to. */
internal fun partitionOf(
    machineName: String,
    partitionCount: Int,
) = Math.floorMod(machineName.hashCode(), partitionCount)

/**
 * A list in the state store with one entry for each machine.
 *
 * Stored values have a maximum size. The list is therefore split, by a hash of the machine's name, into as many
 * partitions as are needed for each to fit in a value. Only partitions that have changed are written. The number of
 * partitions never decreases.
 *
 * @param valueBytes the size of the largest value that the state store accepts, in bytes
 * @param key the prefix of the keys; a slash and the partition's index are appended to it
 */
internal class SummaryPartitions(
    private val state: StateStoreClient,
    private val valueBytes: Int,
    private val key: String,
) {
    var partitionCount = 1
        private set

    /** The index of the partition with which the next [write] begins. */
    private var nextPartition = 0

    /** The contents of each partition when it was last written, by index. */
    private val writtenContents = HashMap<Int, Any>()

    /** Causes the next [write] to write unchanged partitions too. */
    fun forgetWritten() = writtenContents.clear()

    /**
     * Writes up to [maxWrites] of the partitions that have changed, and waits for the responses of the state store.
     *
     * @param machineNames the machines in the list
     * @param contentOf returns the contents of a partition with these machines, for comparison with those last written
     * @param encode returns the stored form of a partition with these machines; may be called several times for each
     * @return whether all partitions are stored with these contents; if not, those that are missing are left to the next
     *   call
     */
    suspend fun write(
        machineNames: Collection<String>,
        maxWrites: Int,
        contentOf: (partitionIndex: Int, machineNames: List<String>) -> Any,
        encode: (partitionIndex: Int, machineNames: List<String>) -> ByteArray,
    ): Boolean {
        val partitions = split(machineNames, encode)
        var remainingWrites = maxWrites
        var isComplete = true
        // Round robin, so that every partition is written in turn when only some may be written each time.
        val order = partitions.indices.sortedBy { Math.floorMod(it - nextPartition, partitions.size) }
        for (index in order) {
            val content = contentOf(index, partitions[index])
            if (writtenContents[index] == content) continue
            if (remainingWrites-- <= 0) return false
            val isWritten = writeOne(index) { encode(index, partitions[index]) }
            if (isWritten) writtenContents[index] = content else isComplete = false
            nextPartition = index + 1
        }
        return isComplete
    }

    /**
     * Splits the machines into partitions, doubling their number until each fits in a value or has a single machine.
     */
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
     * Writes one partition and returns whether it was stored. The partition is encoded only when the request is sent,
     * because its contents may change while the request waits for the rate budget. If it no longer fits in a value by
     * then, it is left to the next [write], which splits the list again.
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

    /** Whether the bytes fit in a value, encoded as base64 within a JSON object. */
    private fun fits(bytes: ByteArray) = bytes.size * BASE64_CHARACTERS / BASE64_BYTES + ENVELOPE_BYTES <= valueBytes

    companion object {
        /** An upper bound for the size of the JSON object without the encoded bytes. */
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
