package micatally.cli

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.controller.Controller
import micatally.http.Client
import micatally.http.Server
import micatally.settings.OperatorSettings
import micatally.settings.Settings
import java.io.IOException
import kotlin.random.Random

/** What other controllers have sockets for: a twentieth, and a few that a small deployment needs too. */
private const val PEER_SHARE = 20
private const val LEAST_PEER_SOCKETS = 4
private const val MOST_REQUEST_BYTES = 64 * 1024L
private const val MOST_PEER_BYTES = 4L * 1024 * 1024

/** One of the controller's addresses belongs to another process. */
class AddressTaken(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/** A former process of this host may be about to end; another program stays. */
private const val BIND_TRIES = 8

/**
 * Binds the server's address, or tries again for a quarter of a worker's lease.
 *
 * @throws AddressTaken if it is still another process's then
 */
private fun bind(
    server: Server,
    addr: String,
    leaseMs: Long,
) {
    repeat(BIND_TRIES) { attempt ->
        try {
            server.bind()
            return
        } catch (e: IOException) {
            if (attempt == BIND_TRIES - 1) throw AddressTaken("address $addr can't be used: ${e.message}", e)
            Thread.sleep(leaseMs / 4 / BIND_TRIES)
        }
    }
}

/** Starts a controller on the loop; returns its two servers. Does nothing before both addresses are its own.
 *
 * @throws AddressTaken if they don't become so */
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
    val front =
        Server(loop.scope, loop.group, settings.listen, settings.maxSockets / 2, MOST_REQUEST_BYTES, controller::handle)
    val back =
        Server(
            loop.scope,
            loop.group,
            settings.peerListen,
            settings.maxSockets / PEER_SHARE + LEAST_PEER_SOCKETS,
            MOST_PEER_BYTES,
            controller::handlePeer,
        )
    bind(front, settings.listen, settings.leaseMs)
    bind(back, settings.peerListen, settings.leaseMs)
    loop.scope.launch {
        controller.start()
        front.start()
        back.start()
        while (true) {
            delay(settings.leaseMs)
            client.closeIdleConnections()
        }
    }
    return front to back
}
