package micatally.config

import kotlinx.coroutines.CoroutineScope
import micatally.http.HttpCaller
import micatally.membership.Membership
import micatally.settings.Settings
import micatally.settings.TeamDirectory
import micatally.state.StateStoreClient
import micatally.upgrade.Upgrade

/**
 * The parts of the stored configuration on one controller, put together.
 *
 * @param onApplied called with each new version of the teams, before it counts as applied
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

    /** Follows a change of the shared keys. To be called after each of them. */
    fun sharedKeysChanged() {
        seed.sharedKeysChanged()
        live.sharedKeysChanged()
    }

    /** The answer to a request on the address for controllers, or null if there is no such resource. */
    suspend fun handle(
        path: String,
        body: ByteArray,
    ): ByteArray? = api.handle(path, body)
}
