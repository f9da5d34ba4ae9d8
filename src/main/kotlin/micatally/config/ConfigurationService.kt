package micatally.config

import kotlinx.coroutines.CoroutineScope
import micatally.http.HttpCaller
import micatally.membership.Membership
import micatally.settings.Settings
import micatally.settings.TeamDirectory
import micatally.state.StateStoreClient
import micatally.upgrade.Upgrade

/**
 * Creates and connects the components that handle the stored configuration on one controller.
 *
 * @param nowMs the monotonic clock, in ms
 * @param wallMs the wall clock, in ms
 * @param onApplied see [LiveConfiguration]
 */
class ConfigurationService(
    scope: CoroutineScope,
    settings: Settings,
    state: StateStoreClient,
    membership: Membership,
    upgrade: Upgrade,
    http: HttpCaller,
    nowMs: () -> Long,
    wallMs: () -> Long,
    onApplied: (former: Configuration, next: Configuration) -> Unit,
) {
    private val sharedKeys = membership.sharedKeys
    private val store = ConfigurationStore(state, settings.stateLimits, membership.process)
    val live = LiveConfiguration(scope, settings, sharedKeys, store, { upgrade.mayTeamsBeStored }, nowMs, onApplied)
    private val seed = ConfigurationSeed(scope, settings, state, sharedKeys, store, { upgrade.mayStoreTeams }, wallMs)
    private val writer =
        ConfigurationWriter(scope, settings, state, sharedKeys, live, store, wallMs) { membership.refresh() }
    private val api = ConfigurationApi(settings, http, live, writer, store, nowMs)

    /** The teams and their limits that are in force now. */
    val teams: TeamDirectory get() = live

    /** Stores the first version or loads a newer one if needed. Called after each change of the shared keys. */
    fun sharedKeysChanged() {
        seed.sharedKeysChanged()
        live.sharedKeysChanged()
    }

    /** Returns the response body for a request on the address for controllers, or null if there is no such resource. */
    suspend fun handle(
        path: String,
        body: ByteArray,
    ): ByteArray? = api.handle(path, body)
}
