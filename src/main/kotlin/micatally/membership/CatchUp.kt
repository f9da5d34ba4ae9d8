package micatally.membership

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import micatally.supervision.completes
import micatally.supervision.launchSupervised

/**
 * Reads the shared keys again when a worker reports a higher fencing token than this controller knows.
 *
 * At most one read is in flight, and callers that ask meanwhile wait for the same read. If the token is still the same
 * afterwards, they continue only after a retry delay. Without the delay a controller that the state store refuses would
 * send one read after another, and no budget would be left for the reads of its users.
 */
internal class CatchUp(
    private val scope: CoroutineScope,
    private val sharedKeys: SharedKeyCache,
    private val retryDelay: RetryDelay,
    private val refresh: suspend () -> Unit,
) {
    private var isRunning = false
    private val continuations = LinkedHashSet<() -> Unit>()

    /**
     * Runs [continuation] after the read, whether the read succeeds or fails. Returns at once. A function that several
     * requests pass for the same read is run once.
     */
    fun request(continuation: () -> Unit) {
        continuations.add(continuation)
        if (isRunning) return
        isRunning = true
        scope.launchSupervised("catch up") { run() }
    }

    private suspend fun run() {
        val tokenBefore = sharedKeys.fencingToken
        refresh()
        if (sharedKeys.fencingToken == tokenBefore) delay(retryDelay.nextMs())
        isRunning = false
        val requested = continuations.toList()
        continuations.clear()
        for (continuation in requested) completes("catch up") { continuation() }
    }
}
