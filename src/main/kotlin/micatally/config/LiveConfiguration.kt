package micatally.config

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Settings
import micatally.settings.Team
import micatally.settings.TeamDirectory
import micatally.supervision.launchSupervised
import org.slf4j.LoggerFactory

/** The state of this controller's configuration compared with the stored one. */
enum class ConfigurationPhase {
    /** As far as this controller knows, no configuration is stored. The teams of the settings file apply. */
    OFF,

    /** A newer version is known to exist but is not loaded yet. No decision may be based on the teams. */
    BEHIND,

    /** The newest version in this controller's copy of the shared keys is loaded. */
    CURRENT,
}

/**
 * The configuration that this controller decides by. It is immutable and replaced as a whole.
 *
 * @param mayBeOn whether a configuration may have been stored that this controller has not seen yet
 * @param onApplied called each time the configuration is replaced, before the new version counts as applied
 */
class LiveConfiguration(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val sharedKeys: SharedKeyCache,
    private val store: ConfigurationStore,
    private val mayBeOn: () -> Boolean,
    private val nowMs: () -> Long,
    private val onApplied: (former: Configuration, next: Configuration) -> Unit,
) : TeamDirectory {
    private val log = LoggerFactory.getLogger("micatally.config")
    private val retryMs = maxOf(10L, settings.leaseMs / RETRIES_PER_LEASE)
    private var isLoading = false

    var phase = ConfigurationPhase.OFF
        private set

    var configuration = Configuration.EMPTY
        private set

    /** The times at which this controller applied the recent versions, oldest first. */
    private val appliedVersions = ArrayDeque<AppliedVersionTime>()

    /** The time at which a version was applied, in ms on the clock of [nowMs]. */
    private class AppliedVersionTime(
        val version: Long,
        val atMs: Long,
    )

    /** Whether the teams come from the state store instead of the settings file. */
    val isOn get() = phase != ConfigurationPhase.OFF
    override val isCurrent get() = phase != ConfigurationPhase.BEHIND

    override fun team(name: String): Team? = if (isOn) configuration.team(name) else settings.teams[name]

    override fun all(): Collection<Team> = if (isOn) configuration.teams else settings.teams.values

    /** The stored head according to this controller's copy of the shared keys; null if there is none. */
    val head get() = sharedKeys.value(Keys.CONFIG)?.let { ChangeCodec.head(it) }

    /** Changes the phase. The phase is set nowhere else. */
    private fun transitionTo(next: ConfigurationPhase) {
        if (next == phase) return
        check(next != ConfigurationPhase.OFF) { "a stored configuration is never switched off" }
        if (phase == ConfigurationPhase.OFF) log.info("teams are read from the state store from now on")
        phase = next
    }

    /**
     * Starts loading the newest version if the shared keys show a newer one. Called after each change of the shared
     * keys.
     */
    fun sharedKeysChanged() {
        val newest = head?.version ?: return
        if (newest <= configuration.version) return
        transitionTo(ConfigurationPhase.BEHIND)
        if (isLoading) return
        isLoading = true
        scope
            .launchSupervised("configuration load") {
                while (phase == ConfigurationPhase.BEHIND) {
                    if (!load()) delay(retryMs)
                }
            }.invokeOnCompletion { isLoading = false }
    }

    /** Makes one attempt to load the newest version. Returns false if some value can't be read now. */
    private suspend fun load(): Boolean {
        val newest = head ?: return false
        val updated = if (configuration.version > 0) store.applyLaterChanges(configuration) else null
        val next = updated?.takeIf { it.version >= newest.version } ?: store.load(newest) ?: return false
        if (next.version < newest.version) return false
        apply(next)
        return true
    }

    private fun apply(next: Configuration) {
        val former = configuration
        configuration = next
        onApplied(former, next)
        appliedVersions.addLast(AppliedVersionTime(next.version, nowMs()))
        while (appliedVersions.size > MAX_APPLIED_VERSIONS) appliedVersions.removeFirst()
        log.info("configuration version applied: {} -> {}", former.version, next.version)
        val newest = head?.version ?: 0L
        transitionTo(if (newest <= next.version) ConfigurationPhase.CURRENT else ConfigurationPhase.BEHIND)
    }

    /**
     * Returns the time at which this controller first applied [version] or a later one, in ms; null if it has not. Only
     * the most recent versions are remembered, so for an old version the time may be that of a later one.
     */
    fun appliedAtMs(version: Long): Long? = appliedVersions.find { it.version >= version }?.atMs

    /**
     * Returns whether the configuration permits starting a task. A controller that has had no contact with the state
     * store for nine tenths of a worker lease ([Settings.startBoundMs]) may lack a version that is in force by then, so
     * it may not start any task.
     *
     * @param viewAgeMs the age of this controller's copy of the shared keys, in ms
     */
    fun mayStart(viewAgeMs: Long): Boolean {
        if (!isOn && !mayBeOn()) return true
        return isCurrent && viewAgeMs < settings.startBoundMs
    }

    override suspend fun refresh(): Boolean {
        if (!isOn && !mayBeOn()) return true
        val read = store.head()
        if (read == HeadRead.Unavailable) return false
        if (read !is HeadRead.Found) return !isOn
        return awaitVersion(read.head.version, settings.leaseMs / REFRESHES_PER_LEASE)
    }

    /** Suspends until [version] or a later one is applied here. Returns false if that takes longer than [timeoutMs]. */
    suspend fun awaitVersion(
        version: Long,
        timeoutMs: Long,
    ): Boolean {
        val deadlineMs = nowMs() + timeoutMs
        while (configuration.version < version || phase != ConfigurationPhase.CURRENT) {
            if (nowMs() >= deadlineMs) return false
            delay(POLL_INTERVAL_MS)
        }
        return true
    }

    companion object {
        private const val RETRIES_PER_LEASE = 200
        private const val REFRESHES_PER_LEASE = 10
        private const val POLL_INTERVAL_MS = 10L
        private const val MAX_APPLIED_VERSIONS = 1000
    }
}
