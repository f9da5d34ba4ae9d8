package micatally.cli

import com.google.common.util.concurrent.MoreExecutors
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.slf4j.LoggerFactory
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
) : CoroutineDispatcher(),
    Delay {
    private val sequentialExecutor = MoreExecutors.newSequentialExecutor(MoreExecutors.directExecutor())

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) = sequentialExecutor.execute(block)

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer =
            timers.schedule({
                sequentialExecutor.execute { with(continuation) { resumeUndispatched(Unit) } }
            }, timeMillis, TimeUnit.MILLISECONDS)
        continuation.invokeOnCancellation { timer.cancel(false) }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle {
        val timer = timers.schedule({ sequentialExecutor.execute(block) }, timeMillis, TimeUnit.MILLISECONDS)
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
    private val log = LoggerFactory.getLogger("micatally.controller")
    private val exceptionHandler =
        CoroutineExceptionHandler { _, e -> log.error("a coroutine of the event loop failed; the loop goes on", e) }
    val scope = CoroutineScope(SupervisorJob() + SerialDispatcher(timers) + exceptionHandler)

    /** Monotonic time in milliseconds. */
    fun nowMs() = System.nanoTime() / 1_000_000

    /** Cancels the coroutines of the loop, closes its channels and ends its threads. */
    override fun close() {
        scope.cancel()
        group.shutdownNow()
        timers.shutdownNow()
    }
}
