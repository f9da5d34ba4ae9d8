package micatally.sim

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler

/** Simulated time. Everything in a [SimFleet] runs on its single dispatcher, and time passes only in [advance]. */
@OptIn(ExperimentalCoroutinesApi::class)
class SimTime {
    private val scheduler = TestCoroutineScheduler()
    private val events = ArrayDeque<String>()

    /**
     * The first exception that no coroutine of the fleet has caught. The next step of the fleet fails the test with it.
     */
    var failure: Throwable? = null
        private set

    val dispatcher: CoroutineDispatcher = StandardTestDispatcher(scheduler)
    val exceptionHandler = CoroutineExceptionHandler { _, exception -> if (failure == null) failure = exception }

    /** The scope of everything except controllers: users, workers, the state store, and messages in transit. */
    val scope = CoroutineScope(SupervisorJob() + dispatcher + exceptionHandler)

    /** Milliseconds since the start of the simulation. */
    val now get() = scheduler.currentTime

    /** Lets [ms] milliseconds pass and runs all that becomes due, also what is due at the very end. */
    fun advance(ms: Long) {
        scheduler.advanceTimeBy(ms)
        scheduler.runCurrent()
    }

    /** Cancels [scope] and runs its coroutines to their ends. */
    fun close() {
        scope.cancel()
        scheduler.runCurrent()
    }

    /** Adds an event to the log that a failed test prints. */
    fun note(event: String) {
        events.addLast("$now $event")
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    /** Returns the error that fails the test because of [cause], with the time and the latest events. */
    fun failed(cause: Throwable) = AssertionError("at $now ms: ${cause.message}\n" + events.joinToString("\n"), cause)

    private companion object {
        /** Only this many of the latest events are kept. */
        const val MAX_EVENTS = 4000
    }
}
