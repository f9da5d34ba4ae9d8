package micatally.cli

import com.google.common.util.concurrent.MoreExecutors
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import micatally.supervision.BackgroundFailures
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.coroutines.CoroutineContext

/**
 * Runs coroutines one at a time, on the thread on which the event arises: the I/O thread or the timer thread. Handing
 * each event over to a third thread took more system calls than handling the event.
 */
@OptIn(InternalCoroutinesApi::class)
private class SerialDispatcher(
    private val timers: ScheduledThreadPoolExecutor,
    private val failures: BackgroundFailures,
) : CoroutineDispatcher(),
    Delay {
    private val sequentialExecutor = MoreExecutors.newSequentialExecutor(MoreExecutors.directExecutor())

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) = execute(block)

    /**
     * Nothing that a coroutine throws may reach the executors: an Error would end the I/O thread, and the sequential
     * executor would leave what waits behind it until the next event.
     */
    private fun execute(block: Runnable) =
        sequentialExecutor.execute {
            try {
                block.run()
            } catch (failure: Throwable) {
                failures.record("event loop", failure)
            }
        }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer =
            timers.schedule({
                execute { with(continuation) { resumeUndispatched(Unit) } }
            }, timeMillis, TimeUnit.MILLISECONDS)
        continuation.invokeOnCancellation { timer.cancel(false) }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle {
        val timer = timers.schedule({ execute(block) }, timeMillis, TimeUnit.MILLISECONDS)
        return DisposableHandle { timer.cancel(false) }
    }
}

/**
 * An event loop and the channel group for its sockets. It has one thread for I/O and one for timers; the coroutines of
 * [scope] run on either of them, but never two at the same time.
 *
 * @property name prefix of the names of both threads, by which the CPU time of loops can be told apart
 */
class EventLoop(
    val name: String = "node",
) : AutoCloseable {
    private val timers =
        ScheduledThreadPoolExecutor(1) { Thread(it, "$name-timers") }.apply { removeOnCancelPolicy = true }
    val group: AsynchronousChannelGroup =
        AsynchronousChannelGroup.withFixedThreadPool(1) { Thread(it, "$name-io").apply { isDaemon = true } }

    /** What has failed in the coroutines of [scope]. */
    val failures = BackgroundFailures()
    private val exceptionHandler =
        CoroutineExceptionHandler { context, failure ->
            failures.record(context[CoroutineName]?.name ?: "an unnamed coroutine", failure)
        }
    val scope = CoroutineScope(SupervisorJob() + SerialDispatcher(timers, failures) + exceptionHandler + failures)

    /** Monotonic time in milliseconds. */
    fun nowMs() = System.nanoTime() / 1_000_000

    /** Cancels the coroutines of the loop, closes its channels and ends its threads. */
    override fun close() {
        scope.cancel()
        group.shutdownNow()
        timers.shutdownNow()
    }
}
