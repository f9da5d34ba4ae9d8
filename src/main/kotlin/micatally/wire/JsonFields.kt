package micatally.wire

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

// Reading fields of JSON messages. A field that is null counts as missing. Each function throws MalformedMessage, with the
// field's name, if the field has another type than asked for.

/** Beyond about this a double no longer represents each integer. */
private const val MAX_EXACT_INTEGER = 9.0e15

val EMPTY_OBJECT = JsonObject(emptyMap())

/** Parses a message's body. */
fun parseObject(body: ByteArray): JsonObject {
    val element =
        try {
            Json.parseToJsonElement(body.decodeToString())
        } catch (e: SerializationException) {
            throw MalformedMessage("the body is not JSON", e)
        }
    return element as? JsonObject ?: throw MalformedMessage("the body is not a JSON object")
}

/** The field's value; null if it is missing. */
fun JsonObject.present(name: String): JsonElement? = this[name]?.takeUnless { it is JsonNull }

fun JsonObject.textOrNull(name: String): String? {
    val value = present(name) ?: return null
    return (value as? JsonPrimitive)?.takeIf { it.isString }?.content
        ?: throw MalformedMessage("$name must be a string")
}

fun JsonObject.text(name: String): String = textOrNull(name) ?: throw MalformedMessage("$name is missing")

/** A finite number. */
fun JsonObject.numberOrNull(name: String): Double? {
    val value = present(name) ?: return null
    val number = (value as? JsonPrimitive)?.takeUnless { it.isString }?.doubleOrNull
    if (number == null || !number.isFinite()) throw MalformedMessage("$name must be a finite number")
    return number
}

fun JsonObject.number(name: String): Double = numberOrNull(name) ?: throw MalformedMessage("$name is missing")

/** An integer, which may be written as a decimal number without a fraction such as 3.0. */
fun JsonObject.longOrNull(name: String): Long? {
    val value = present(name) ?: return null
    val primitive =
        (value as? JsonPrimitive)?.takeUnless { it.isString } ?: throw MalformedMessage("$name must be an integer")
    primitive.longOrNull?.let { return it }
    val number = primitive.doubleOrNull
    val isInteger = number != null && number == Math.rint(number) && Math.abs(number) <= MAX_EXACT_INTEGER
    if (!isInteger) throw MalformedMessage("$name must be an integer")
    return number.toLong()
}

fun JsonObject.long(name: String): Long = longOrNull(name) ?: throw MalformedMessage("$name is missing")

/** A boolean that must be present. */
fun JsonObject.flag(name: String): Boolean {
    val value = present(name) ?: throw MalformedMessage("$name is missing")
    return (value as? JsonPrimitive)?.takeUnless { it.isString }?.booleanOrNull
        ?: throw MalformedMessage("$name must be true or false")
}

fun JsonObject.listOrNull(name: String): List<JsonElement>? {
    val value = present(name) ?: return null
    return value as? JsonArray ?: throw MalformedMessage("$name must be a list")
}

/** An object; null if it is missing. */
fun JsonObject.child(name: String): JsonObject? {
    val value = present(name) ?: return null
    return value as? JsonObject ?: throw MalformedMessage("$name must be an object")
}

fun JsonElement.asObject(): JsonObject = this as? JsonObject ?: throw MalformedMessage("an object was expected")

fun JsonElement.asText(): String =
    (this as? JsonPrimitive)?.takeIf { it.isString }?.content ?: throw MalformedMessage("a string was expected")

fun JsonElement.asLong(): Long =
    (this as? JsonPrimitive)?.longOrNull ?: throw MalformedMessage("an integer was expected")

/** The JSON text in UTF-8. */
fun JsonElement.bytes(): ByteArray = toString().encodeToByteArray()
