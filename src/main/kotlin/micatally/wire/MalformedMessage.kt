package micatally.wire

/**
 * Thrown when a message from outside is not what the protocol describes.
 *
 * @param message names the field; it is part of the response that the sender gets
 */
class MalformedMessage(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)
