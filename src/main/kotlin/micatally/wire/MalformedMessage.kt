package micatally.wire

/**
 * Thrown when a received message does not conform to the protocol.
 *
 * @param message states the fault and, if a field has it, the name of the field. If the received message was a request,
 *   the text becomes part of the response.
 */
class MalformedMessage(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)
