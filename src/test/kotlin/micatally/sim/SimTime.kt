package micatally.sim

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler

/** Simulated time: everything in a [SimFleet] runs on its one dispatcher, and time passes only in [advance]. */
@OptIn(ExperimentalCoroutinesApi::class)
class SimTime {
    private val scheduler = TestCoroutineScheduler()
    private val events = ArrayDeque<String>()

    /** The first exception that a coroutine of the fleet has not caught; the next step of the fleet throws it. */
    var failure: Throwable? = null
        private set

    val dispatcher: CoroutineDispatcher = StandardTestDispatcher(scheduler)
    val exceptionHandler = CoroutineExceptionHandler { _, exception -> if (failure == null) failure = exception }

    /** The scope of all that is no controller: users, workers, the state store, messages under way. */
    val scope = CoroutineScope(SupervisorJob() + dispatcher + exceptionHandler)

    /** Milliseconds since the start of the simulation. */
    val now get() = scheduler.currentTime

    /** Runs all that is due in the next [ms] milliseconds, the last one included. */
    fun advance(ms: Long) {
        scheduler.advanceTimeBy(ms)
        scheduler.runCurrent()
    }

    /** Cancels [scope] and lets its coroutines end. */
    fun close() {
        scope.cancel()
        scheduler.runCurrent()
    }

    /** Adds an event to the log that a failed test prints. */
    fun note(event: String) {
        events.addLast("$now $event")
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    /** The test failure that [cause] stands for, with the time and the latest events. */
    fun failed(cause: Throwable) = AssertionError("at $now ms: ${cause.message}\n" + events.joinToString("\n"), cause)

    private companion object {
        const val MAX_EVENTS = 4000
    }
}
