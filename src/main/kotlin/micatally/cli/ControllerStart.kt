package micatally.cli

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.http.Client
import micatally.http.Server
import micatally.node.Controller
import micatally.settings.Operator
import micatally.settings.Settings
import kotlin.random.Random

/** Of a controller's sockets, those that it opens itself; half are for users and workers, the rest for other controllers. */
private const val CLIENT_SHARE_PERCENT = 42

/** What other controllers have sockets for: a twentieth, and a few that a small deployment needs too. */
private const val PEER_SHARE = 20
private const val LEAST_PEER_SOCKETS = 4
private const val MOST_REQUEST_BYTES = 64 * 1024L
private const val MOST_PEER_BYTES = 4L * 1024 * 1024

/** Starts a controller on the loop; returns its two servers. */
fun startController(
    loop: Loop,
    settings: Settings,
    operator: Operator = Operator.DEFAULT,
): Pair<Server, Server> {
    val client = Client(loop.group, settings.maxSockets * CLIENT_SHARE_PERCENT / 100, loop::nowMs)
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
            settings.back,
            settings.maxSockets / PEER_SHARE + LEAST_PEER_SOCKETS,
            MOST_PEER_BYTES,
            controller::handlePeer,
        )
    loop.scope.launch {
        controller.start()
        front.start()
        back.start()
        while (true) {
            delay(settings.leaseMs)
            client.sweep()
        }
    }
    return front to back
}
