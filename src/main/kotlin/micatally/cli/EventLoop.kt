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

/** Runs one thing at a time, on whichever thread brings it: the one that waits for the kernel or the one that keeps the timers.
 * Handing each event to a thread of its own cost more system calls than the event itself. */
@OptIn(InternalCoroutinesApi::class)
private class Serial(
    private val timers: ScheduledThreadPoolExecutor,
) : CoroutineDispatcher(),
    Delay {
    private val inTurn = MoreExecutors.newSequentialExecutor(MoreExecutors.directExecutor())

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) = inTurn.execute(block)

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer =
            timers.schedule({
                inTurn.execute { with(continuation) { resumeUndispatched(Unit) } }
            }, timeMillis, TimeUnit.MILLISECONDS)
        continuation.invokeOnCancellation { timer.cancel(false) }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle {
        val timer = timers.schedule({ inTurn.execute(block) }, timeMillis, TimeUnit.MILLISECONDS)
        return DisposableHandle { timer.cancel(false) }
    }
}

/** The event loop and its channel group: what one thread reads and another one times is decided in turn.
 *
 * @param name prefix of the names of both threads, so that processor time can be told apart by loop */
class EventLoop(
    val name: String = "node",
) : AutoCloseable {
    private val timers =
        ScheduledThreadPoolExecutor(1) { Thread(it, "$name-timers") }.apply { removeOnCancelPolicy = true }
    val group: AsynchronousChannelGroup =
        AsynchronousChannelGroup.withFixedThreadPool(1) { Thread(it, "$name-io").apply { isDaemon = true } }
    private val log = LoggerFactory.getLogger("micatally.controller")
    private val onFailure = CoroutineExceptionHandler { _, e -> log.error("a task of the event loop failed", e) }
    val scope = CoroutineScope(SupervisorJob() + Serial(timers) + onFailure)

    fun nowMs() = System.nanoTime() / 1_000_000

    /** Ends all that runs on the loop, closes its channels and lets its threads go. */
    override fun close() {
        scope.cancel()
        group.shutdownNow()
        timers.shutdownNow()
    }
}
