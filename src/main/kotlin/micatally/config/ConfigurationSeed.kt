package micatally.config

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Settings
import micatally.state.Compare
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import org.slf4j.LoggerFactory

/** Stores the teams of the settings file as the first version, by a transaction that requires that no head exists. */
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

    private val isDue get() = sharedKeys.revision >= 0 && !sharedKeys.has(Keys.CONFIG) && mayWrite()

    /** Starts to store the first version if none is stored. To be called after each change of the shared keys. */
    fun sharedKeysChanged() {
        if (!isDue || isWriting) return
        isWriting = true
        scope.launch {
            try {
                while (isDue) if (!write()) delay(settings.leaseMs / RETRIES_PER_LEASE)
            } finally {
                isWriting = false
            }
        }
    }

    /**
     * Returns false if the attempt has to be repeated. Its condition makes that safe, also after an unknown
     * outcome.
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
