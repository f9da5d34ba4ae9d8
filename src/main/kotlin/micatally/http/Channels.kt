package micatally.http

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousServerSocketChannel
import java.nio.channels.AsynchronousSocketChannel
import java.nio.channels.CompletionHandler
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Resumes the continuation that is attached to a finished channel operation. One instance serves all operations. */
private object ContinuationResumer : CompletionHandler<Any?, CancellableContinuation<Any?>> {
    override fun completed(
        result: Any?,
        continuation: CancellableContinuation<Any?>,
    ) = continuation.resume(result)

    override fun failed(
        failure: Throwable,
        continuation: CancellableContinuation<Any?>,
    ) = continuation.resumeWithException(failure)
}

@Suppress("UNCHECKED_CAST")
private fun <T> handler() = ContinuationResumer as CompletionHandler<T, CancellableContinuation<Any?>>

/**
 * Reads the bytes that have arrived into [buffer], after waiting for the first one. Cancellation closes the channel.
 *
 * @return the number of bytes, or -1 at the end of the stream
 */
suspend fun AsynchronousSocketChannel.readInto(buffer: ByteBuffer): Int =
    suspendCancellableCoroutine<Any?> { continuation ->
        continuation.invokeOnCancellation { closeQuietly() }
        read(buffer, continuation, handler<Int>())
    } as Int

/** Writes all remaining bytes of [buffer]. Cancellation closes the channel. */
suspend fun AsynchronousSocketChannel.writeAll(buffer: ByteBuffer) {
    while (buffer.hasRemaining()) {
        suspendCancellableCoroutine<Any?> { continuation ->
            continuation.invokeOnCancellation { closeQuietly() }
            write(buffer, continuation, handler<Int>())
        }
    }
}

/** Connects the channel to [addr]. Cancellation closes the channel. */
suspend fun AsynchronousSocketChannel.connectTo(addr: InetSocketAddress) {
    suspendCancellableCoroutine<Any?> { continuation ->
        continuation.invokeOnCancellation { closeQuietly() }
        connect(addr, continuation, handler<Void?>())
    }
}

/** Waits for the next incoming connection and accepts it. Cancellation closes the server channel. */
suspend fun AsynchronousServerSocketChannel.acceptOne(): AsynchronousSocketChannel =
    suspendCancellableCoroutine<Any?> { continuation ->
        continuation.invokeOnCancellation { runCatching { close() } }
        accept(continuation, handler<AsynchronousSocketChannel>())
    } as AsynchronousSocketChannel

/** Closes the channel and ignores a failure to do so. */
fun AsynchronousSocketChannel.closeQuietly() {
    try {
        close()
    } catch (e: Exception) {
        // The channel is not used any more, whether or not it could be closed.
    }
}

/** The socket address for [addr], which is a host and a port with a colon between them. */
fun socketAddress(addr: String): InetSocketAddress {
    val colon = addr.lastIndexOf(':')
    return InetSocketAddress(addr.substring(0, colon), addr.substring(colon + 1).toInt())
}
