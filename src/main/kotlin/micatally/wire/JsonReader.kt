package micatally.wire

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.core.StreamReadConstraints
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.JsonUnquotedLiteral
import java.nio.charset.CharacterCodingException

/**
 * Reads JSON that others have sent. The depth of what it returns is at most [MAX_DEPTH], so that code which visits the
 * result by recursion needs a bounded stack. No message of the protocols has a field nearly as deep: a list or an object
 * below that depth is skipped and read as an empty one.
 */
object JsonReader {
    /** Number of lists and objects around the innermost value that is read. */
    const val MAX_DEPTH = 32

    /**
     * The size of a message is limited where it is received; within that, nothing else about it is. Names are neither
     * interned nor kept in a table that all messages share, since anybody can send any number of different ones.
     */
    private val factory: JsonFactory =
        JsonFactory
            .builder()
            .streamReadConstraints(
                StreamReadConstraints
                    .builder()
                    .maxNestingDepth(Int.MAX_VALUE)
                    .maxNumberLength(Int.MAX_VALUE)
                    .maxStringLength(Int.MAX_VALUE)
                    .maxNameLength(Int.MAX_VALUE)
                    .build(),
            ).disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
            .build()

    /**
     * Parses a JSON object in UTF-8.
     *
     * @param fields names of the fields to read; the others are checked for being JSON and skipped. Null: all fields
     * @throws MalformedMessage if [body] is no JSON object
     */
    fun readObject(
        body: ByteArray,
        fields: Set<String>? = null,
    ): JsonObject {
        val text =
            try {
                body.decodeToString(throwOnInvalidSequence = true)
            } catch (e: CharacterCodingException) {
                throw MalformedMessage("the body is not UTF-8", e)
            }
        return readObject(text, fields)
    }

    /** Parses a JSON object; see the other function of this name. */
    fun readObject(
        text: String,
        fields: Set<String>? = null,
    ): JsonObject =
        try {
            factory.createParser(text).use { parser -> readDocument(parser, fields) }
        } catch (e: JsonProcessingException) {
            throw MalformedMessage("the body is not JSON", e)
        }

    private fun readDocument(
        parser: JsonParser,
        fields: Set<String>?,
    ): JsonObject {
        val first = parser.nextToken() ?: throw MalformedMessage("the body is not JSON")
        val document = if (first == JsonToken.START_OBJECT) readFields(parser, fields, 1) else null
        // What is no object is skipped, since it may not be JSON either.
        if (document == null) parser.skipChildren()
        if (parser.nextToken() != null) throw MalformedMessage("the body is not JSON")
        return document ?: throw MalformedMessage("the body is not a JSON object")
    }

    /** Reads the fields of the object that has just begun and that has [depth] - 1 lists and objects around it. */
    private fun readFields(
        parser: JsonParser,
        names: Set<String>?,
        depth: Int,
    ): JsonObject {
        val fields = LinkedHashMap<String, JsonElement>()
        while (true) {
            val name = parser.nextFieldName() ?: break
            parser.nextToken()
            if (names == null || name in names) fields[name] = readValue(parser, depth) else parser.skipChildren()
        }
        return JsonObject(fields)
    }

    private fun readItems(
        parser: JsonParser,
        depth: Int,
    ): JsonArray {
        val items = ArrayList<JsonElement>()
        while (parser.nextToken() != JsonToken.END_ARRAY) items.add(readValue(parser, depth))
        return JsonArray(items)
    }

    /** Reads the value that begins with the current token and has [depth] lists and objects around it. */
    private fun readValue(
        parser: JsonParser,
        depth: Int,
    ): JsonElement =
        when (parser.currentToken()) {
            JsonToken.START_OBJECT -> if (depth < MAX_DEPTH) readFields(parser, null, depth + 1) else skipObject(parser)
            JsonToken.START_ARRAY -> if (depth < MAX_DEPTH) readItems(parser, depth + 1) else skipList(parser)
            JsonToken.VALUE_STRING -> JsonPrimitive(parser.text)
            JsonToken.VALUE_TRUE -> JsonPrimitive(true)
            JsonToken.VALUE_FALSE -> JsonPrimitive(false)
            JsonToken.VALUE_NULL -> JsonNull
            // The digits are kept as they were sent, so that a stored number reads like the submitted one.
            else -> JsonUnquotedLiteral(parser.text)
        }

    private fun skipObject(parser: JsonParser): JsonObject {
        parser.skipChildren()
        return EMPTY_OBJECT
    }

    private fun skipList(parser: JsonParser): JsonArray {
        parser.skipChildren()
        return EMPTY_LIST
    }

    private val EMPTY_LIST = JsonArray(emptyList())
}
