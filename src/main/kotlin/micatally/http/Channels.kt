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

/** One handler serves all operations: the attachment is the continuation to resume. */
private object Resume : CompletionHandler<Any?, CancellableContinuation<Any?>> {
    override fun completed(
        result: Any?,
        c: CancellableContinuation<Any?>,
    ) = c.resume(result)

    override fun failed(
        e: Throwable,
        c: CancellableContinuation<Any?>,
    ) = c.resumeWithException(e)
}

@Suppress("UNCHECKED_CAST")
private fun <T> handler() = Resume as CompletionHandler<T, CancellableContinuation<Any?>>

suspend fun AsynchronousSocketChannel.readInto(buffer: ByteBuffer): Int =
    suspendCancellableCoroutine<Any?> { c ->
        c.invokeOnCancellation { closeQuietly() }
        read(buffer, c, handler<Int>())
    } as Int

suspend fun AsynchronousSocketChannel.writeAll(buffer: ByteBuffer) {
    while (buffer.hasRemaining()) {
        suspendCancellableCoroutine<Any?> { c ->
            c.invokeOnCancellation { closeQuietly() }
            write(buffer, c, handler<Int>())
        }
    }
}

suspend fun AsynchronousSocketChannel.connectTo(addr: InetSocketAddress) {
    suspendCancellableCoroutine<Any?> { c ->
        c.invokeOnCancellation { closeQuietly() }
        connect(addr, c, handler<Void?>())
    }
}

suspend fun AsynchronousServerSocketChannel.acceptOne(): AsynchronousSocketChannel =
    suspendCancellableCoroutine<Any?> { c ->
        c.invokeOnCancellation { runCatching { close() } }
        accept(c, handler<AsynchronousSocketChannel>())
    } as AsynchronousSocketChannel

fun AsynchronousSocketChannel.closeQuietly() {
    try {
        close()
    } catch (e: Exception) {
        // it is over either way
    }
}

fun socketAddress(addr: String): InetSocketAddress {
    val colon = addr.lastIndexOf(':')
    return InetSocketAddress(addr.substring(0, colon), addr.substring(colon + 1).toInt())
}
