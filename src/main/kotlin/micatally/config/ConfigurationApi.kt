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

/**
 * Serves requests about the configuration. Operators and other controllers send them to the address for controllers.
 */
class ConfigurationApi(
    private val settings: Settings,
    private val http: HttpCaller,
    private val live: LiveConfiguration,
    private val writer: ConfigurationWriter,
    private val store: ConfigurationStore,
    private val nowMs: () -> Long,
) {
    /** Returns the response body for a request, or null if there is no resource at [path]. */
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

    /** Applies a new change that restores the teams of an earlier version. */
    private suspend fun rollback(request: RollbackRequest): ChangeAnswer {
        if (!live.isOn) return ChangeAnswer(ChangeStatus.SWITCHED_OFF)
        if (!live.refresh()) return ChangeAnswer(ChangeStatus.UNAVAILABLE)
        val current = live.configuration
        val head = live.head ?: return ChangeAnswer(ChangeStatus.UNAVAILABLE)
        if (request.version !in 1..current.version) {
            return invalid(current, "version ${request.version} does not exist; the newest is ${current.version}")
        }
        val target =
            store.readVersion(request.version, head)
                ?: return invalid(current, "version ${request.version} can't be read, or is too old to be known")
        return writer.apply(rollbackChange(request, current, target))
    }

    private fun invalid(
        current: Configuration,
        message: String,
    ) = ChangeAnswer(ChangeStatus.INVALID, current.version, listOf(LineError("", message)))

    /** Returns the change that turns [current] into [target]. */
    private fun rollbackChange(
        request: RollbackRequest,
        current: Configuration,
        target: Configuration,
    ) = ConfigurationChange(
        id = request.id,
        base = current.version,
        author = request.author,
        reason = request.reason,
        set = target.teams.map { it.toSetting() }.filter { it != current.team(it.name)?.toSetting() },
        remove = current.teams.map { it.name }.filter { target.team(it) == null },
    )

    /**
     * Returns the rollout status of a version; 0 requests the newest. A version is in force in one of two cases: every
     * controller has confirmed that it decides by this version, or so much time has passed since the version was
     * applied here that a controller without it may no longer start tasks. The confirmation of a process also holds for
     * the processes that replace it on its host, because they read the shared keys before they decide anything.
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

    /**
     * Returns for how many ms a controller without the version may still start tasks. Includes a margin for the drift
     * of both controllers' clocks.
     */
    private fun remainingMsUntilInForce(version: Long): Long {
        val boundMs = settings.startBoundMs * (1 + MAX_CLOCK_DRIFT * 2)
        val appliedAtMs = live.appliedAtMs(version) ?: return boundMs.toLong()
        return maxOf(0L, (appliedAtMs + boundMs - nowMs()).toLong())
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

/** Paths of the resources of [ConfigurationApi]. */
object ConfigurationPaths {
    const val GET = "/config/get"
    const val APPLY = "/config/apply"
    const val HISTORY = "/config/history"
    const val ROLLBACK = "/config/rollback"
    const val STATUS = "/config/status"
    const val APPLIED = "/config/applied"
}
