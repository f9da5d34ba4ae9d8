package micatally.job

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import micatally.wire.longOrNull
import micatally.wire.textOrNull
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.util.Base64
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/**
 * A value in the form in which it is stored.
 *
 * @property overflow further values, if the value is too large for one
 */
class PackedValue(
    val main: JsonObject,
    val overflow: List<JsonObject>,
)

/**
 * Compresses values beyond the limit of the state service. The main value keeps the fields that are read without the
 * rest; the overflow values are written in the same transaction, so they have the same revision as the main one.
 * Only read by programs of the current format.
 */
object RecordPacking {
    private const val DATA = "z"
    private const val OVERFLOW_COUNT = "p"
    private const val CHUNK = "b"

    /** An upper bound of the bytes that the names of the fields take in a value. */
    private const val FIELD_BYTES = 32

    /** The bytes that the value takes in the state service. */
    fun size(value: JsonObject): Int = value.toString().encodeToByteArray().size

    /** Whether [value] is the main value of a compressed one. */
    fun isPacked(value: JsonObject): Boolean = DATA in value

    /** How many further values belong to the main [value]. */
    fun overflowCount(value: JsonObject): Int = value.longOrNull(OVERFLOW_COUNT)?.toInt() ?: 0

    /**
     * Compresses [value] beside [plainFields], which stay readable without unpacking; no value is larger than [valueBytes].
     *
     * @return null if it does not fit in one value and [maxOverflow] further ones
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

    /** The value that was packed into [main] and all of its [overflow], in their order; [main] itself if it is not packed. */
    fun unpack(
        main: JsonObject,
        overflow: List<JsonObject>,
    ): JsonObject {
        val first = main.textOrNull(DATA) ?: return main
        val text = overflow.fold(StringBuilder(first)) { all, part -> all.append(part.textOrNull(CHUNK) ?: "") }
        return Json.parseToJsonElement(inflate(Base64.getDecoder().decode(text.toString()))) as JsonObject
    }

    private fun deflate(text: String): ByteArray {
        val bytes = ByteArrayOutputStream()
        DeflaterOutputStream(bytes).use { it.write(text.encodeToByteArray()) }
        return bytes.toByteArray()
    }

    private fun inflate(bytes: ByteArray): String =
        InflaterInputStream(ByteArrayInputStream(bytes)).use { it.readBytes() }.decodeToString()
}
