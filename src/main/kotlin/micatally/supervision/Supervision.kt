package micatally.supervision

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch

// Functions that keep the background work of a controller going after an unexpected failure. Whatever is thrown counts
// as one, Errors too, unless the coroutine itself has been cancelled.
//
// Without BackgroundFailures in the coroutine context nothing is caught: a simulation ends at the first failure.

private const val FIRST_RESTART_DELAY_MS = 100L
private const val MAX_RESTART_DELAY_MS = 1000L

/**
 * Starts work that the controller can't do without, such as an endless loop. If it fails unexpectedly, it is run again
 * from its beginning after a delay, which grows with each failure up to a second.
 *
 * @param name the name of the work in the log
 */
fun CoroutineScope.launchSupervised(
    name: String,
    work: suspend () -> Unit,
): Job = launch(CoroutineName(name)) { restartOnFailure(name, work) }

/** Runs [work] until it returns, as [launchSupervised] does, within the calling coroutine. */
suspend fun restartOnFailure(
    name: String,
    work: suspend () -> Unit,
) {
    var delayMs = FIRST_RESTART_DELAY_MS
    while (!completes(name, work)) {
        delay(delayMs)
        delayMs = minOf(delayMs * 2, MAX_RESTART_DELAY_MS)
    }
}

/** Runs [work] once. Returns whether it has returned; if it has failed unexpectedly, that is logged and counted. */
@Suppress("TooGenericExceptionCaught")
suspend fun completes(
    name: String,
    work: suspend () -> Unit,
): Boolean {
    val failures = currentCoroutineContext()[BackgroundFailures]
    if (failures == null) {
        work()
        return true
    }
    return try {
        work()
        true
    } catch (failure: Throwable) {
        currentCoroutineContext().ensureActive()
        failures.record(name, failure)
        false
    }
}
