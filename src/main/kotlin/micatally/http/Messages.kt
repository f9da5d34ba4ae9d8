package micatally.http

import java.net.URLDecoder
import java.net.URLEncoder

class HttpRequest(
    val method: String,
    val target: String,
    val body: ByteArray,
    val keepAlive: Boolean = true,
) {
    val path: String get() = target.substringBefore('?')
    val query: Map<String, String> by lazy {
        target.substringAfter('?', "").split('&').filter { it.isNotEmpty() }.associate {
            URLDecoder.decode(it.substringBefore('='), Charsets.UTF_8) to
                URLDecoder.decode(it.substringAfter('=', ""), Charsets.UTF_8)
        }
    }
}

class HttpResponse(
    val status: Int,
    val body: ByteArray,
    val type: String = JSON,
    val retryAfterS: Int? = null,
    val close: Boolean = false,
) {
    companion object {
        const val JSON = "application/json"
        const val BINARY = "application/octet-stream"
    }
}

/** What became of a request that we sent. [NotSent] and [Silence] differ in what they prove: after silence the
 * request may have been carried out, or may be carried out later. */
sealed interface Outcome {
    class Answer(
        val status: Int,
        val body: ByteArray,
    ) : Outcome

    data object NotSent : Outcome

    data object Silence : Outcome

    /** The request was answered, but the answer is larger than this process takes. */
    data object TooLarge : Outcome
}

/** How requests leave a node: sockets in a process, function calls in the simulation. */
fun interface HttpCaller {
    suspend fun call(
        addr: String,
        method: String,
        target: String,
        body: ByteArray?,
        timeoutMs: Long,
    ): Outcome
}

fun queryPart(s: String): String = URLEncoder.encode(s, Charsets.UTF_8)

fun reasonOf(status: Int) =
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
