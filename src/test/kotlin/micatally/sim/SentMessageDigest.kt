package micatally.sim

import micatally.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.security.MessageDigest

/**
 * A digest of everything that the controllers of one simulated fleet send: requests to the state store, the cloud, workers and
 * peers, and responses to users, workers and peers, each with its simulated time, its parties and its bytes. Two versions of
 * the program that behave alike have the same digests.
 *
 * With the environment variable [FILE_VARIABLE] set, each fleet appends a line to that file when it is closed: the test, the
 * seed, the number of messages and the digest. Sorted, the files of two versions can be compared. Without it nothing is
 * computed.
 */
internal class SentMessageDigest private constructor(
    private val file: Path,
    private val label: String,
) {
    private val digest = MessageDigest.getInstance("SHA-256")
    private var messages = 0

    fun request(
        nowMs: Long,
        sender: String,
        receiver: String,
        method: String,
        target: String,
        body: ByteArray?,
    ) = add("$nowMs $sender > $receiver $method $target ${body?.size}\n", body)

    fun response(
        nowMs: Long,
        sender: String,
        target: String,
        response: HttpResponse,
    ) {
        val header = "${response.status} ${response.type} ${response.retryAfterS} ${response.close}"
        add("$nowMs $sender < $target $header ${response.body.size}\n", response.body)
    }

    private fun add(
        header: String,
        body: ByteArray?,
    ) {
        messages++
        digest.update(header.toByteArray())
        if (body != null) digest.update(body)
    }

    /** Appends the line of this fleet to the file. */
    fun write() {
        val hex = digest.digest().joinToString("") { "%02x".format(it) }
        val line = "$label $messages $hex\n"
        Files.writeString(file, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND)
    }

    companion object {
        private const val FILE_VARIABLE = "SENT_MESSAGE_DIGESTS"

        /** The digest of a new fleet, named by the test class that plays it; null unless a file for the digests is named. */
        fun ofFleet(seed: Int): SentMessageDigest? {
            val file = System.getenv(FILE_VARIABLE) ?: return null
            return SentMessageDigest(Path.of(file), "${callingTest()} seed=$seed")
        }

        private fun callingTest(): String =
            Thread.currentThread().stackTrace.map { it.className.substringBefore('$') }.lastOrNull {
                it.startsWith("micatally.") && it.endsWith("Test")
            } ?: "unknown"
    }
}
