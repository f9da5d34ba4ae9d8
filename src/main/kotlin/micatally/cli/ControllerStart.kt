package micatally.cli

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.controller.Controller
import micatally.controller.UserWorkerRouter
import micatally.http.Client
import micatally.http.RequestMemory
import micatally.http.Server
import micatally.settings.OperatorSettings
import micatally.settings.Settings
import micatally.supervision.launchSupervised
import java.io.IOException
import kotlin.random.Random

/**
 * Connections from other controllers may take a twentieth of the controller's sockets, plus a few so that there are
 * enough in a small deployment too.
 */
private const val PEER_SOCKET_DIVISOR = 20
private const val EXTRA_PEER_SOCKETS = 4
private const val MAX_REQUEST_BYTES = 64 * 1024L
private const val MAX_PEER_REQUEST_BYTES = 4L * 1024 * 1024

/**
 * The size of the heap divided by these is the memory for bodies of requests that users, workers and other controllers
 * send. Workers have a part of their own, so that users can't end the workers' leases.
 */
private const val USER_MEMORY_DIVISOR = 16
private const val HEARTBEAT_MEMORY_DIVISOR = 16
private const val PEER_MEMORY_DIVISOR = 4

/** One of the controller's addresses is in use by another process. */
class AddressTaken(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/**
 * How often a controller tries to bind an address. Retries help if the address is still held by a former process of
 * this host that is about to end. If another program holds it, all attempts fail.
 */
private const val BIND_ATTEMPTS = 8

/**
 * Binds the server's address. Retries for up to a quarter of a worker's lease.
 *
 * @throws AddressTaken if the address is still in use after the last attempt
 */
private fun bind(
    server: Server,
    addr: String,
    leaseMs: Long,
) {
    repeat(BIND_ATTEMPTS) { attempt ->
        try {
            server.bind()
            return
        } catch (e: IOException) {
            if (attempt == BIND_ATTEMPTS - 1) throw AddressTaken("address $addr can't be used: ${e.message}", e)
            Thread.sleep(leaseMs / 4 / BIND_ATTEMPTS)
        }
    }
}

/**
 * Starts a controller on the event loop. It sends and answers nothing before both its addresses are bound.
 *
 * @return the server for users and workers, and the server for other controllers
 * @throws AddressTaken if one of the addresses stays in use
 */
fun startController(
    loop: EventLoop,
    settings: Settings,
    operator: OperatorSettings = OperatorSettings.DEFAULT,
): Pair<Server, Server> {
    val client = Client(loop.group, settings.outgoingSockets, loop::nowMs)
    val controller =
        Controller(
            loop.scope,
            settings,
            client,
            Random(System.nanoTime()),
            loop::nowMs,
            System::currentTimeMillis,
            operator,
            System::nanoTime,
        )
    val heapBytes = Runtime.getRuntime().maxMemory()
    val userMemory = RequestMemory(heapBytes / USER_MEMORY_DIVISOR)
    val heartbeatMemory = RequestMemory(heapBytes / HEARTBEAT_MEMORY_DIVISOR)
    val peerMemory = RequestMemory(heapBytes / PEER_MEMORY_DIVISOR)
    val userWorkerServer =
        Server(
            loop.scope,
            loop.group,
            settings.listen,
            settings.maxSockets / 2,
            MAX_REQUEST_BYTES,
            { target -> if (target == UserWorkerRouter.HEARTBEAT) heartbeatMemory else userMemory },
            controller::handle,
        )
    val peerServer =
        Server(
            loop.scope,
            loop.group,
            settings.peerListen,
            settings.maxSockets / PEER_SOCKET_DIVISOR + EXTRA_PEER_SOCKETS,
            MAX_PEER_REQUEST_BYTES,
            { peerMemory },
            controller::handlePeer,
        )
    bind(userWorkerServer, settings.listen, settings.leaseMs)
    bind(peerServer, settings.peerListen, settings.leaseMs)
    loop.scope.launch(CoroutineName("start of the controller")) {
        controller.start()
        userWorkerServer.start()
        peerServer.start()
    }
    val servers = ServerReport(listOf("users and workers" to userWorkerServer, "peers" to peerServer), loop.failures)
    loop.scope.launchSupervised("idle connections") {
        while (true) {
            delay(settings.leaseMs)
            client.closeIdleConnections()
            servers.logIfChanged()
        }
    }
    return userWorkerServer to peerServer
}
