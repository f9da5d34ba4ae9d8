package micatally.http

import java.net.URLDecoder
import java.net.URLEncoder

/**
 * A request that a server has received.
 *
 * @property target path and query
 * @property keepAlive whether the connection may stay open after the response
 */
class HttpRequest(
    val method: String,
    val target: String,
    val body: ByteArray,
    val keepAlive: Boolean = true,
) {
    val path: String get() = target.substringBefore('?')

    /** Decoded parameters of the query, by name. */
    val query: Map<String, String> by lazy {
        target.substringAfter('?', "").split('&').filter { it.isNotEmpty() }.associate {
            URLDecoder.decode(it.substringBefore('='), Charsets.UTF_8) to
                URLDecoder.decode(it.substringAfter('=', ""), Charsets.UTF_8)
        }
    }
}

/**
 * The response of a server to a request.
 *
 * @property type media type of the body
 * @property retryAfterS value of the `Retry-After` header, in seconds; null for no such header
 * @property close whether the server closes the connection after the response
 */
class HttpResponse(
    val status: Int,
    val body: ByteArray,
    val type: String = JSON,
    val retryAfterS: Int? = null,
    val close: Boolean = false,
) {
    /** Media types. */
    companion object {
        const val JSON = "application/json"
        const val BINARY = "application/octet-stream"
    }
}

/**
 * Outcome of a request of this process. [NotSent] proves that the request is not carried out. After [NoResponse] it may
 * have been carried out, or may still be carried out later.
 */
sealed interface Outcome {
    /** A response has arrived. */
    class Answer(
        val status: Int,
        val body: ByteArray,
    ) : Outcome

    /** No part of the request has been sent. */
    data object NotSent : Outcome

    /** The request may have been sent, but no valid response to it has arrived. */
    data object NoResponse : Outcome

    /** A response has arrived, but it is larger than this process accepts. */
    data object TooLarge : Outcome
}

/** Sends requests: over sockets in a process, by function calls in the simulation. */
fun interface HttpCaller {
    /**
     * Sends a request and waits for the response.
     *
     * @param addr host and port of the server
     * @param target path and query
     * @param timeoutMs longest time from the call to the end of the response, in milliseconds
     */
    suspend fun call(
        addr: String,
        method: String,
        target: String,
        body: ByteArray?,
        timeoutMs: Long,
    ): Outcome
}

/** Encodes a name or a value for the query of a target. */
fun queryPart(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

/** The reason phrase of a status code. */
fun reasonPhrase(status: Int) =
    when (status) {
        200 -> "OK"
        201 -> "Created"
        400 -> "Bad Request"
        404 -> "Not Found"
        405 -> "Method Not Allowed"
        408 -> "Request Timeout"
        409 -> "Conflict"
        410 -> "Gone"
        413 -> "Content Too Large"
        421 -> "Misdirected Request"
        422 -> "Unprocessable Content"
        429 -> "Too Many Requests"
        431 -> "Request Header Fields Too Large"
        501 -> "Not Implemented"
        503 -> "Service Unavailable"
        else -> "Status"
    }
