package micatally.config

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Settings
import micatally.state.Compare
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.supervision.launchSupervised
import org.slf4j.LoggerFactory

/**
 * Stores the teams of the settings file as the first version of the configuration. The transaction requires that no
 * head exists, so only one controller succeeds.
 */
class ConfigurationSeed(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
    private val store: ConfigurationStore,
    private val mayWrite: () -> Boolean,
    private val wallMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.config")
    private var isWriting = false

    /** Whether the first version may be written and, as far as the shared keys show, has not been written yet. */
    private val isDue get() = sharedKeys.revision >= 0 && !sharedKeys.has(Keys.CONFIG) && mayWrite()

    /** Starts storing the first version if none is stored. Called after each change of the shared keys. */
    fun sharedKeysChanged() {
        if (!isDue || isWriting) return
        isWriting = true
        scope
            .launchSupervised("configuration seed") {
                while (isDue) if (!write()) delay(settings.leaseMs / RETRIES_PER_LEASE)
            }.invokeOnCompletion { isWriting = false }
    }

    /**
     * Makes one attempt to store the first version. Returns false if it was not confirmed as applied. Repeating it is
     * safe even if the outcome is unknown, because the transaction fails if a head exists.
     */
    private suspend fun write(): Boolean {
        val teams = settings.teams.values.toList()
        val id = "settings-${settings.host}"
        val record = ChangeRecord(FIRST_VERSION, id, settings.host, "settings file", wallMs(), teams, emptyList())
        val value = store.stage(record) ?: return false
        val head = ChangeCodec.encode(ConfigurationHead(FIRST_VERSION, 0L, 0))
        val group = Put(Keys.configChange(FIRST_VERSION), ChangeCodec.group(listOf(value)))
        val result =
            state.transact(2, Urgency.ACCEPTANCE) {
                if (isDue) {
                    Transaction(
                        listOf(Compare(Keys.CONFIG, 0L)),
                        listOf(Put(Keys.CONFIG, head), group),
                    )
                } else {
                    null
                }
            }
        if (result is TransactionResult.Applied) {
            log.info("configuration seeded: {} teams of the settings file stored", teams.size)
        }
        return result is TransactionResult.Applied
    }

    private companion object {
        const val FIRST_VERSION = 1L
        const val RETRIES_PER_LEASE = 20
    }
}
