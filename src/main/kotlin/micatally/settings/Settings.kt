package micatally.settings

import kotlinx.serialization.json.JsonObject
import micatally.state.StateLimits
import micatally.wire.MalformedMessage
import micatally.wire.asObject
import micatally.wire.asText
import micatally.wire.child
import micatally.wire.listOrNull
import micatally.wire.number
import micatally.wire.numberOrNull
import micatally.wire.parseObject
import micatally.wire.text

/** A setting that is missing or makes no sense; the text names the field. */
class SettingsError(
    message: String,
) : Exception(message)

class Peer(
    val host: String,
    val zone: String,
    val addr: String,
)

/** A team's guarantee and limit. As the deployment page says, 0 means none: no guarantee, no limit. */
class Team(
    val name: String,
    val cores: Double,
    val coresMax: Double,
    val gpus: Double,
    val gpusMax: Double,
)

class Objective(
    val kind: String,
    val jobClass: String?,
    val withinS: Double?,
)

class Settings(
    val host: String,
    val zone: String,
    val listen: String,
    val back: String,
    val peers: List<Peer>,
    val cloudAddr: String,
    val stateAddr: String,
    val zones: List<String>,
    val teams: Map<String, Team>,
    val objectives: List<Objective>,
    val heartbeatIntervalMs: Long,
    val leaseMs: Long,
    val cancelMs: Long,
    val gangWaitMs: Long,
    val gangPeerMs: Long,
    /** What this program keeps to: the smaller of the present limits and of those to come. */
    val stateLimits: StateLimits,
    val cloudRps: Double,
    val listLagMs: Long,
    val maxSockets: Int,
    val coreShare: Double,
) {
    val controllers get() = peers.size + 1
    val stateWriteRps get() = stateLimits.writeRps
    val valueBytes get() = stateLimits.valueBytes
    val maxOperationsPerTransaction get() = stateLimits.maxOperationsPerTransaction

    /** How long a cancellation that some controller has not confirmed lies in the state service before its user is told. */
    val cancellationDelayMs get() = leaseMs

    /** For how long after its last contact a controller may start tasks, on its own clock. */
    val startBoundMs get() = cancellationDelayMs * 9 / 10

    /** For how long a node may answer reports after its last proof of contact with the state service. What it has not heard of
     * by then is told [cancellationDelayMs] later at the earliest; from there the worker's lease and a margin of a tenth of it fit in
     * the time that a cancellation has. */
    val leadershipMs get() = maxOf(leaseMs / 2, cancellationDelayMs + cancelMs - leaseMs * 11 / 10)

    /** A node's own lease at the state service. */
    val liveMs get() = leaseMs * 8 / 10

    /** How often a watch of shared keys is opened at the most: it takes this share of the requests that a controller may make. */
    val watchEveryMs get() = (1000.0 * controllers / stateLimits.rps * WATCH_SHARE).toLong()

    /** Sockets that this node opens itself, for requests to machines, the state service, the cloud and other controllers. */
    val outgoingSockets get() = outgoingSockets(maxSockets)

    /** Requests with orders that may be under way at once. Together with the probes of silent machines they leave a part of
     * [outgoingSockets] to the state service, the cloud and the other controllers, however many machines don't answer. */
    val maxConcurrentCommands get() = maxOf(1, outgoingSockets / 2)

    /** Probes of silent machines that may be under way at once. */
    val maxConcurrentProbes get() = maxSockets / 8

    /** How long room counts as held after its owner has changed, until the new one has loaded the shard and told. */
    val handOverMs get() = leaseMs / 4

    companion object {
        /** Half of a controller's sockets are for users and workers, a few for the questions of other controllers. */
        private const val OUTGOING_SHARE_PERCENT = 42

        fun outgoingSockets(maxSockets: Int) = maxSockets * OUTGOING_SHARE_PERCENT / 100

        fun parse(body: ByteArray): Settings =
            try {
                read(parseObject(body))
            } catch (e: MalformedMessage) {
                throw SettingsError(e.message ?: "bad settings")
            }

        private fun read(o: JsonObject): Settings {
            val services = need(o, "services")
            val params = need(o, "params")
            val workers = need(params, "workers")
            val state = need(params, "state")
            val cloud = need(params, "cloud")
            val limits = need(params, "machine_limits")
            val teams =
                (params.listOrNull("teams") ?: throw SettingsError("params.teams is missing"))
                    .map { TeamJson.decode(it.asObject()) }
            return Settings(
                o.text("host_name"),
                o.text("location"),
                address(o, "listen"),
                address(o, "back"),
                (o.listOrNull("seeds") ?: emptyList()).map {
                    val p = it.asObject()
                    Peer(p.text("host_name"), p.text("location"), address(p, "peer_addr"))
                },
                address(services, "cloud"),
                address(services, "state"),
                (params.listOrNull("zones") ?: emptyList()).map { it.asText() },
                teams.associateBy { it.name },
                (params.listOrNull("objectives") ?: emptyList()).map {
                    val t = it.asObject()
                    Objective(t.text("kind"), (t["class"])?.asText(), t.numberOrNull("within_s"))
                },
                millis(workers, "report_s"),
                millis(workers, "lease_s"),
                millis(workers, "cancel_s"),
                gangMillis(workers, "gang_wait_s", GANG_WAIT_LEASES),
                gangMillis(workers, "gang_peer_s", GANG_PEER_LEASES),
                stateLimits(state),
                positive(cloud, "rps"),
                millis(cloud, "list_lag_s"),
                positive(limits, "max_sockets").toInt(),
                positive(limits, "core_share"),
            )
        }

        /** Limits to come may be left out, each by itself; then the present one stays. */
        private fun stateLimits(state: JsonObject): StateLimits {
            val now =
                StateLimits(
                    positive(state, "rps"),
                    positive(state, "write_rps"),
                    valueBytes(positive(state, "value_kb")),
                    positive(state, "txn_ops").toInt(),
                )
            val next = state.child("next") ?: return now

            fun later(
                name: String,
                present: Double,
            ): Double {
                val limit = next.numberOrNull(name) ?: return present
                val least = if (name == "txn_ops") LEAST_TXN_OPS else 0.0
                if (limit <= 0 ||
                    limit < least
                ) {
                    throw SettingsError(
                        "state.next.$name must be ${if (least > 0) "at least ${least.toInt()}" else "above 0"}",
                    )
                }
                return limit
            }
            return now.smallerOf(
                StateLimits(
                    later("rps", now.rps),
                    later("write_rps", now.writeRps),
                    valueBytes(later("value_kb", state.number("value_kb"))),
                    later("txn_ops", now.maxOperationsPerTransaction.toDouble()).toInt(),
                ),
            )
        }

        private fun valueBytes(kibibytes: Double) = (kibibytes * 1024).toInt()

        private fun need(
            o: JsonObject,
            name: String,
        ) = o.child(name) ?: throw SettingsError("$name is missing")

        private fun positive(
            o: JsonObject,
            name: String,
        ) = o.number(name).also {
            if (it <= 0) throw SettingsError("$name must be above 0")
        }

        private fun millis(
            o: JsonObject,
            name: String,
        ) = (positive(o, name) * 1000).toLong()

        /** Deployments from before the gangs don't name these times; then a cautious share of a worker's lease is taken. */
        private fun gangMillis(
            workers: JsonObject,
            name: String,
            leases: Double,
        ): Long {
            if (workers.numberOrNull(name) != null) return millis(workers, name)
            return (workers.number("lease_s") * 1000 * leases).toLong()
        }

        /** One request in so many goes to the watch of the shared keys. */
        private const val WATCH_SHARE = 3.0

        /** A takeover changes two keys at once. */
        private const val LEAST_TXN_OPS = 2.0

        private const val GANG_WAIT_LEASES = 2.0
        private const val GANG_PEER_LEASES = 0.2

        private fun address(
            o: JsonObject,
            name: String,
        ) = o.text(name).also {
            val port = it.substringAfterLast(':', "").toIntOrNull()
            if (port == null || port !in 0..65535 ||
                it.substringBeforeLast(':').isEmpty()
            ) {
                throw SettingsError("$name must look like 10.0.0.1:8080")
            }
        }
    }
}
