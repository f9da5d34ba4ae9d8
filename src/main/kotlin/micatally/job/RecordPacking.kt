package micatally.job

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import micatally.wire.JsonReader
import micatally.wire.longOrNull
import micatally.wire.textOrNull
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.Base64
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/**
 * A value in the form in which it is stored, compressed or not.
 *
 * @property main the value under the main key
 * @property overflow the values under further keys, if the value is too large for one; in their order
 */
class PackedValue(
    val main: JsonObject,
    val overflow: List<JsonObject>,
)

/**
 * Compresses values that are larger than the state store allows, and splits them into a main value and overflow values
 * if they are still too large. The main value also has some fields uncompressed, so that these can be read alone. The
 * overflow values are written in the same transaction as the main value, so they have the same revision.
 *
 * Programs from before [micatally.upgrade.FormatVersion.PACKED_RECORDS] can't read this form.
 */
object RecordPacking {
    private const val DATA = "z"
    private const val OVERFLOW_COUNT = "p"
    private const val CHUNK = "b"

    /** An upper bound of the bytes that the names of the fields added here take in a value. */
    private const val FIELD_BYTES = 32

    /** The size of the value in the state store, in bytes. */
    fun size(value: JsonObject): Int = value.toString().encodeToByteArray().size

    /** Whether [value] is the main value of a compressed value. */
    fun isPacked(value: JsonObject): Boolean = DATA in value

    /** How many overflow values belong to the main [value]. */
    fun overflowCount(value: JsonObject): Int = value.longOrNull(OVERFLOW_COUNT)?.toInt() ?: 0

    /**
     * Compresses [value]. The main value also has [plainFields], which can be read without unpacking. No resulting
     * value is larger than [valueBytes].
     *
     * @return null if [value] does not fit in the main value and [maxOverflow] overflow values
     */
    fun pack(
        value: JsonObject,
        plainFields: JsonObject,
        valueBytes: Int,
        maxOverflow: Int,
    ): PackedValue? {
        val text = Base64.getEncoder().encodeToString(deflate(value.toString()))
        val firstLength = valueBytes - FIELD_BYTES - size(plainFields)
        val chunkLength = valueBytes - FIELD_BYTES
        if (firstLength <= 0) return null
        val rest = text.drop(firstLength).chunked(chunkLength)
        if (rest.size > maxOverflow) return null
        val main =
            buildJsonObject {
                for ((name, field) in plainFields) put(name, field)
                put(DATA, JsonPrimitive(text.take(firstLength)))
                if (rest.isNotEmpty()) put(OVERFLOW_COUNT, JsonPrimitive(rest.size))
            }
        return PackedValue(main, rest.map { chunk -> buildJsonObject { put(CHUNK, JsonPrimitive(chunk)) } })
    }

    /**
     * The value that was packed into [main] and all of its [overflow] values, in their order; [main] itself if not
     * packed.
     */
    fun unpack(
        main: JsonObject,
        overflow: List<JsonObject>,
    ): JsonObject {
        val first = main.textOrNull(DATA) ?: return main
        val text = overflow.fold(StringBuilder(first)) { all, part -> all.append(part.textOrNull(CHUNK) ?: "") }
        return JsonReader.readObject(inflate(Base64.getDecoder().decode(text.toString())))
    }

    private fun deflate(text: String): ByteArray {
        val bytes = ByteArrayOutputStream()
        DeflaterOutputStream(bytes).use { it.write(text.encodeToByteArray()) }
        return bytes.toByteArray()
    }

    private fun inflate(bytes: ByteArray): String =
        InflaterInputStream(ByteArrayInputStream(bytes)).use { it.readBytes() }.decodeToString()
}
