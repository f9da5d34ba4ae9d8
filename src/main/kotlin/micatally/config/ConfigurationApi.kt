package micatally.config

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.settings.Peer
import micatally.settings.Settings
import micatally.wire.AppliedVersion
import micatally.wire.ChangeAnswer
import micatally.wire.ChangeStatus
import micatally.wire.ConfigurationChange
import micatally.wire.ConfigurationStatus
import micatally.wire.ConfigurationView
import micatally.wire.HistoryAnswer
import micatally.wire.HistoryEntry
import micatally.wire.LineError
import micatally.wire.RollbackRequest
import micatally.wire.StatusRequest

/** Serves the requests of operators and other controllers about the configuration, on the address for controllers. */
class ConfigurationApi(
    private val settings: Settings,
    private val http: HttpCaller,
    private val live: LiveConfiguration,
    private val writer: ConfigurationWriter,
    private val store: ConfigurationStore,
    private val nowMs: () -> Long,
) {
    /** The answer to a request for [path], or null if there is no such resource. */
    suspend fun handle(
        path: String,
        body: ByteArray,
    ): ByteArray? =
        when (path) {
            ConfigurationPaths.GET -> ProtoBuf.encodeToByteArray(view())
            ConfigurationPaths.APPLY ->
                ProtoBuf.encodeToByteArray(writer.apply(ProtoBuf.decodeFromByteArray<ConfigurationChange>(body)))
            ConfigurationPaths.HISTORY -> ProtoBuf.encodeToByteArray(history())
            ConfigurationPaths.ROLLBACK ->
                ProtoBuf.encodeToByteArray(rollback(ProtoBuf.decodeFromByteArray<RollbackRequest>(body)))
            ConfigurationPaths.STATUS ->
                ProtoBuf.encodeToByteArray(status(ProtoBuf.decodeFromByteArray<StatusRequest>(body).version))
            ConfigurationPaths.APPLIED -> ProtoBuf.encodeToByteArray(applied())
            else -> null
        }

    private suspend fun view(): ConfigurationView {
        live.refresh()
        return ConfigurationView(live.isOn, live.configuration.version, live.all().map { it.toSetting() })
    }

    private fun applied() = AppliedVersion(settings.host, if (live.isOn) live.configuration.version else 0L)

    private suspend fun history(): HistoryAnswer {
        if (!live.isOn) return HistoryAnswer()
        val changes =
            store.history(live.configuration.version, MAX_HISTORY_ENTRIES) ?: return HistoryAnswer(isAvailable = false)
        return HistoryAnswer(
            changes.map { HistoryEntry(it.version, it.author, it.reason, it.atMs, it.set.size, it.remove.size) },
        )
    }

    /** A new change that makes the teams what they were at a former version. */
    private suspend fun rollback(request: RollbackRequest): ChangeAnswer {
        if (!live.isOn) return ChangeAnswer(ChangeStatus.SWITCHED_OFF)
        if (!live.refresh()) return ChangeAnswer(ChangeStatus.UNAVAILABLE)
        val current = live.configuration
        val head = live.head ?: return ChangeAnswer(ChangeStatus.UNAVAILABLE)
        if (request.version !in 1..current.version) {
            return invalid(current, "version ${request.version} does not exist; the newest is ${current.version}")
        }
        val former =
            store.readVersion(request.version, head)
                ?: return invalid(current, "version ${request.version} can't be read, or is too old to be known")
        return writer.apply(changeBack(request, current, former))
    }

    private fun invalid(
        current: Configuration,
        message: String,
    ) = ChangeAnswer(ChangeStatus.INVALID, current.version, listOf(LineError("", message)))

    /** The change that turns [current] into [former]. */
    private fun changeBack(
        request: RollbackRequest,
        current: Configuration,
        former: Configuration,
    ) = ConfigurationChange(
        id = request.id,
        base = current.version,
        author = request.author,
        reason = request.reason,
        set = former.teams.map { it.toSetting() }.filter { it != current.team(it.name)?.toSetting() },
        remove = current.teams.map { it.name }.filter { former.team(it) == null },
    )

    /**
     * Returns the rollout status of a version; 0 requests the newest. A version is in force when every controller has
     * confirmed that it decides by it, or when so much time has passed since it was applied here that a controller
     * without it can't start anything any more. The confirmation of a process holds for its successors too: they
     * read the
     * shared keys before they decide anything.
     */
    private suspend fun status(requestedVersion: Long): ConfigurationStatus {
        if (!live.isOn) return ConfigurationStatus(isOn = false)
        live.refresh()
        val newest = live.configuration.version
        val version = if (requestedVersion > 0) requestedVersion else newest
        val confirmations = requestAppliedVersions() + applied()
        val confirmed = confirmations.filter { it.version >= version }.hostSet()
        val missing = settings.peers.map { it.host }.plus(settings.host) - confirmed
        val remainingMs = if (missing.isEmpty()) 0L else remainingMsUntilInForce(version)
        return ConfigurationStatus(
            isOn = true,
            version = version,
            newest = newest,
            isInForce = remainingMs == 0L,
            inForceInMs = remainingMs,
            applied = confirmations.sortedBy { it.host },
            missing = missing.sorted(),
        )
    }

    private fun List<AppliedVersion>.hostSet() = map { it.host }.toSet()

    /** The time for which a controller that lacks the version may still start tasks, with the drift of both clocks. */
    private fun remainingMsUntilInForce(version: Long): Long {
        val boundMs = settings.startBoundMs * (1 + MAX_CLOCK_DRIFT * 2)
        val seenAtMs = live.appliedAtMs(version) ?: return boundMs.toLong()
        return maxOf(0L, (seenAtMs + boundMs - nowMs()).toLong())
    }

    private suspend fun requestAppliedVersions(): List<AppliedVersion> =
        coroutineScope {
            settings.peers
                .map { peer -> async { requestAppliedVersion(peer) } }
                .awaitAll()
                .filterNotNull()
        }

    private suspend fun requestAppliedVersion(peer: Peer): AppliedVersion? {
        val outcome = http.call(peer.addr, "POST", ConfigurationPaths.APPLIED, ByteArray(0), settings.leaseMs / 10)
        if (outcome !is Outcome.Answer || outcome.status != 200) return null
        return ProtoBuf.decodeFromByteArray<AppliedVersion>(outcome.body)
    }

    private companion object {
        const val MAX_HISTORY_ENTRIES = 50

        /** The largest drift between the monotonic clocks of two machines, as a fraction. */
        const val MAX_CLOCK_DRIFT = 0.0005
    }
}

/** Paths of the configuration's resources on the address for controllers. */
object ConfigurationPaths {
    const val GET = "/config/get"
    const val APPLY = "/config/apply"
    const val HISTORY = "/config/history"
    const val ROLLBACK = "/config/rollback"
    const val STATUS = "/config/status"
    const val APPLIED = "/config/applied"
}
