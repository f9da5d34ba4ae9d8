package micatally.cli

import micatally.http.Server
import micatally.supervision.BackgroundFailures
import org.slf4j.LoggerFactory

/**
 * Logs what has become of the connections and requests of the servers, and which background work has failed.
 *
 * @param servers the servers by the name that the log has for them
 */
internal class ServerReport(
    private val servers: List<Pair<String, Server>>,
    private val failures: BackgroundFailures,
) {
    private val log = LoggerFactory.getLogger("micatally.http")
    private var logged = ""

    /** Logs a line if connections or requests were refused or anything has failed since the last line. */
    fun logIfChanged() {
        val counts = servers.joinToString("; ") { (name, server) -> "$name: ${server.statistics.describe()}" }
        val described = "$counts; failed background work: ${failures.describe()}"
        if (described == logged) return
        logged = described
        val open = servers.joinToString { (name, server) -> "$name ${server.statistics.open}" }
        log.info("{}; open connections: {}", described, open)
    }
}
