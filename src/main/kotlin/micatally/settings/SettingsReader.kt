package micatally.settings

import kotlinx.serialization.json.JsonElement
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

/** Reads and validates the settings file. Only the first error that is found is reported. */
internal object SettingsReader {
    /** Cautious defaults for the gang times, in worker leases. Deployments older than gangs don't set these times. */
    private const val DEFAULT_GANG_WAIT_LEASES = 2.0
    private const val DEFAULT_GANG_PEER_LEASES = 0.2

    /** The smallest usable limit of a transaction, because a failover changes two keys in one transaction. */
    private const val MIN_TRANSACTION_OPERATIONS = 2.0

    private const val MILLIS_PER_SECOND = 1000
    private const val BYTES_PER_KIBIBYTE = 1024
    private const val MAX_PORT = 65535

    /** @throws SettingsError if [body] is not JSON, or a setting is missing or invalid */
    fun read(body: ByteArray): Settings =
        try {
            read(parseObject(body))
        } catch (malformed: MalformedMessage) {
            throw SettingsError(malformed.message ?: "bad settings", malformed)
        }

    private fun read(root: JsonObject): Settings {
        val services = root.section("services")
        val params = root.section("params")
        val workers = params.section("workers")
        val state = params.section("state")
        val cloud = params.section("cloud")
        val machineLimits = params.section("machine_limits")
        val teams = params.listOrNull("teams") ?: throw SettingsError("params.teams is missing")
        val teamsByName = teams.map { TeamJson.decode(it.asObject()) }.associateBy { it.name }
        return Settings(
            host = root.text("host_name"),
            zone = root.text("location"),
            listen = root.address("listen"),
            peerListen = root.address("back"),
            peers = root.listOrNull("seeds").orEmpty().map { readPeer(it) },
            cloudAddr = services.address("cloud"),
            stateAddr = services.address("state"),
            zones = params.listOrNull("zones").orEmpty().map { it.asText() },
            teams = teamsByName,
            objectives = params.listOrNull("objectives").orEmpty().map { readObjective(it) },
            heartbeatIntervalMs = workers.millis("report_s"),
            leaseMs = workers.millis("lease_s"),
            cancelMs = workers.millis("cancel_s"),
            gangWaitMs = workers.millisOrLeases("gang_wait_s", DEFAULT_GANG_WAIT_LEASES),
            gangPeerMs = workers.millisOrLeases("gang_peer_s", DEFAULT_GANG_PEER_LEASES),
            stateLimits = readStateLimits(state),
            cloudRps = cloud.positive("rps"),
            listLagMs = cloud.millis("list_lag_s"),
            maxSockets = machineLimits.positive("max_sockets").toInt(),
            coreShare = machineLimits.positive("core_share"),
        )
    }

    private fun readPeer(element: JsonElement): Peer {
        val peer = element.asObject()
        return Peer(peer.text("host_name"), peer.text("location"), peer.address("peer_addr"))
    }

    private fun readObjective(element: JsonElement): Objective {
        val objective = element.asObject()
        return Objective(objective.text("kind"), objective["class"]?.asText(), objective.numberOrNull("within_s"))
    }

    private fun readStateLimits(state: JsonObject): StateLimits {
        val current =
            StateLimits(
                state.positive("rps"),
                state.positive("write_rps"),
                bytes(state.positive("value_kb")),
                state.positive("txn_ops").toInt(),
            )
        val next = state.child("next") ?: return current
        return current.smallerOf(readNextStateLimits(next, current, state.number("value_kb")))
    }

    /** Reads the upcoming limits. Each of them may be missing; then the current limit remains. */
    private fun readNextStateLimits(
        next: JsonObject,
        current: StateLimits,
        currentValueKb: Double,
    ) = StateLimits(
        next.nextLimit("rps") ?: current.rps,
        next.nextLimit("write_rps") ?: current.writeRps,
        bytes(next.nextLimit("value_kb") ?: currentValueKb),
        next.nextOperations("txn_ops")?.toInt() ?: current.maxOperationsPerTransaction,
    )

    private fun JsonObject.nextLimit(name: String): Double? {
        val limit = numberOrNull(name) ?: return null
        if (limit <= 0) throw SettingsError("state.next.$name must be above 0")
        return limit
    }

    private fun JsonObject.nextOperations(name: String): Double? {
        val limit = numberOrNull(name) ?: return null
        if (limit < MIN_TRANSACTION_OPERATIONS) {
            throw SettingsError("state.next.$name must be at least ${MIN_TRANSACTION_OPERATIONS.toInt()}")
        }
        return limit
    }

    private fun bytes(kibibytes: Double) = (kibibytes * BYTES_PER_KIBIBYTE).toInt()

    private fun JsonObject.section(name: String): JsonObject = child(name) ?: throw SettingsError("$name is missing")

    private fun JsonObject.positive(name: String): Double {
        val value = number(name)
        if (value <= 0) throw SettingsError("$name must be above 0")
        return value
    }

    /** Reads a time in seconds and returns it in ms. */
    private fun JsonObject.millis(name: String): Long = (positive(name) * MILLIS_PER_SECOND).toLong()

    /** Reads a time in seconds and returns it in ms. If it is missing, returns this many worker [leases] in ms. */
    private fun JsonObject.millisOrLeases(
        name: String,
        leases: Double,
    ): Long {
        if (numberOrNull(name) != null) return millis(name)
        return (number("lease_s") * MILLIS_PER_SECOND * leases).toLong()
    }

    /** Reads an address of the form host:port. */
    private fun JsonObject.address(name: String): String {
        val address = text(name)
        val port = address.substringAfterLast(':', "").toIntOrNull()
        val hasHost = address.substringBeforeLast(':').isNotEmpty()
        if (port == null || port !in 0..MAX_PORT || !hasHost) {
            throw SettingsError("$name must look like 10.0.0.1:8080")
        }
        return address
    }
}
