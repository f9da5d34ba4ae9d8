package micatally.membership

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Reads the shared keys again for callers that met a higher fencing token than this controller knows.
 *
 * One read serves all who ask meanwhile. When it shows no newer token the next one waits for a pause: a controller that the
 * state store refuses would otherwise ask without end, and its users' reads would never get their turn.
 */
internal class CatchUp(
    private val scope: CoroutineScope,
    private val sharedKeys: SharedKeyCache,
    private val retryDelay: RetryDelay,
    private val refresh: suspend () -> Unit,
) {
    private var isRunning = false
    private val continuations = LinkedHashSet<() -> Unit>()

    /** Returns at once and runs [continuation] after the read, whether it succeeded or not; the same one is run once. */
    fun request(continuation: () -> Unit) {
        continuations.add(continuation)
        if (isRunning) return
        isRunning = true
        scope.launch { run() }
    }

    private suspend fun run() {
        val before = sharedKeys.fencingToken
        refresh()
        if (sharedKeys.fencingToken == before) delay(retryDelay.nextMs())
        isRunning = false
        val requested = continuations.toList()
        continuations.clear()
        for (continuation in requested) continuation()
    }
}
