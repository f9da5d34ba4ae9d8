package micatally.wire

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

// Functions that read fields of JSON messages. A field that is null counts as missing. If a value does not have the
// type that a function reads, it throws MalformedMessage; the message contains the field's name if the function takes
// one.

/** Doubles represent each integer up to about this one; above it, they skip some. */
private const val MAX_EXACT_INTEGER = 9.0e15

val EMPTY_OBJECT = JsonObject(emptyMap())

/** Parses the body of a message, which has to be a JSON object; see [JsonReader.readObject]. */
fun parseObject(
    body: ByteArray,
    fields: Set<String>? = null,
): JsonObject = JsonReader.readObject(body, fields)

/** The field's value; null if the field is missing or is JSON null. */
fun JsonObject.valueOrNull(name: String): JsonElement? = this[name]?.takeUnless { it is JsonNull }

fun JsonObject.textOrNull(name: String): String? {
    val value = valueOrNull(name) ?: return null
    return (value as? JsonPrimitive)?.takeIf { it.isString }?.content
        ?: throw MalformedMessage("$name must be a string")
}

fun JsonObject.text(name: String): String = textOrNull(name) ?: throw MalformedMessage("$name is missing")

/** A finite number; null if the field is missing. */
fun JsonObject.numberOrNull(name: String): Double? {
    val value = valueOrNull(name) ?: return null
    val number = (value as? JsonPrimitive)?.takeUnless { it.isString }?.doubleOrNull
    if (number == null || !number.isFinite()) throw MalformedMessage("$name must be a finite number")
    return number
}

fun JsonObject.number(name: String): Double = numberOrNull(name) ?: throw MalformedMessage("$name is missing")

/** An integer; null if the field is missing. It may be written as a decimal number without a fraction, such as 3.0. */
fun JsonObject.longOrNull(name: String): Long? {
    val value = valueOrNull(name) ?: return null
    val primitive =
        (value as? JsonPrimitive)?.takeUnless { it.isString } ?: throw MalformedMessage("$name must be an integer")
    primitive.longOrNull?.let { return it }
    val number = primitive.doubleOrNull
    val isInteger = number != null && number == Math.rint(number) && Math.abs(number) <= MAX_EXACT_INTEGER
    if (!isInteger) throw MalformedMessage("$name must be an integer")
    return number.toLong()
}

fun JsonObject.long(name: String): Long = longOrNull(name) ?: throw MalformedMessage("$name is missing")

/** A boolean. The field is required. */
fun JsonObject.flag(name: String): Boolean {
    val value = valueOrNull(name) ?: throw MalformedMessage("$name is missing")
    return (value as? JsonPrimitive)?.takeUnless { it.isString }?.booleanOrNull
        ?: throw MalformedMessage("$name must be true or false")
}

fun JsonObject.listOrNull(name: String): List<JsonElement>? {
    val value = valueOrNull(name) ?: return null
    return value as? JsonArray ?: throw MalformedMessage("$name must be a list")
}

/** A JSON object; null if the field is missing. */
fun JsonObject.child(name: String): JsonObject? {
    val value = valueOrNull(name) ?: return null
    return value as? JsonObject ?: throw MalformedMessage("$name must be an object")
}

fun JsonElement.asObject(): JsonObject = this as? JsonObject ?: throw MalformedMessage("an object was expected")

fun JsonElement.asText(): String =
    (this as? JsonPrimitive)?.takeIf { it.isString }?.content ?: throw MalformedMessage("a string was expected")

fun JsonElement.asLong(): Long =
    (this as? JsonPrimitive)?.longOrNull ?: throw MalformedMessage("an integer was expected")

/** The JSON text in UTF-8. */
fun JsonElement.bytes(): ByteArray = toString().encodeToByteArray()
