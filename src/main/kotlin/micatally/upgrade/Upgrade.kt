package micatally.upgrade

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
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

/**
 * Carries out an upgrade of the stored format: announces the format that this host is ready for, raises the permitted
 * format once all hosts have announced it, and tells which formats may be written.
 *
 * The copy of the shared keys may lag behind the state store. That only delays the use of a newer format.
 *
 * @param targetFormat the format that this host is to be upgraded to; see [FormatVersion]
 * @param onUniform called once, when [phase] has become [UpgradePhase.UNIFORM]
 */
class Upgrade(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
    private val targetFormat: Long,
    private val onUniform: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("micatally.upgrade")
    private val hosts = settings.peers.map { it.host } + settings.host
    private val retryDelayMs = settings.leaseMs / RETRIES_PER_LEASE

    /** Changes at most once, from [UpgradePhase.MIXED] to [UpgradePhase.UNIFORM]. */
    var phase = UpgradePhase.MIXED
        private set

    /** Whether packed records may be written and gangs accepted; see [FormatVersion.PACKED_RECORDS]. */
    val isUniform get() = phase == UpgradePhase.UNIFORM

    /** Whether teams may be written to the state store, that is, whether all controllers can read them there. */
    val mayStoreTeams get() = UpgradePlan.format(sharedKeys) >= FormatVersion.STORED_TEAMS

    /**
     * Whether other controllers may have written teams to the state store. That is possible if this host is ready for
     * stored teams or has ever announced that it is, even if it does not know of the write yet.
     */
    val mayTeamsBeStored: Boolean
        get() {
            val announced = UpgradePlan.announced(sharedKeys, settings.host)
            return targetFormat >= FormatVersion.STORED_TEAMS || announced >= FormatVersion.STORED_TEAMS
        }

    private var isWriting = false
    private var lastStep: UpgradeStep? = null
    private var lastDowngraded: List<String> = emptyList()

    /** The one place where the phase changes. */
    private fun transitionTo(next: UpgradePhase) {
        if (next == phase) return
        check(next == UpgradePhase.UNIFORM) { "the upgrade phase must not go back to MIXED" }
        phase = next
        log.info("upgrade finished: all controllers write format {}", UpgradePlan.format(sharedKeys))
        onUniform()
    }

    /**
     * Takes the next step of the upgrade if there is one. Called when the shared keys have changed. Starts a write
     * without waiting for it.
     */
    fun sharedKeysChanged() {
        val isLoaded = sharedKeys.revision >= 0
        if (!isLoaded) return
        if (UpgradePlan.phase(sharedKeys) == UpgradePhase.UNIFORM) transitionTo(UpgradePhase.UNIFORM)
        warnOfDowngrades()
        val step = nextStep()
        if (step != lastStep) logProgress(step)
        lastStep = step
        if (step == UpgradeStep.Announce || step == UpgradeStep.Raise) launchWrite()
    }

    private fun nextStep() = UpgradePlan.nextStep(sharedKeys, settings.host, hosts, targetFormat)

    private fun logProgress(step: UpgradeStep) {
        if (step !is UpgradeStep.WaitFor) return
        log.info(
            "upgrade: {} of {} controllers are new, waiting for {}",
            hosts.size - step.hosts.size,
            hosts.size,
            step.hosts,
        )
    }

    private fun warnOfDowngrades() {
        val downgraded = UpgradePlan.downgraded(sharedKeys, hosts)
        if (downgraded != lastDowngraded && downgraded.isNotEmpty()) {
            log.warn("upgrade: {} run an older version than they had announced", downgraded)
        }
        lastDowngraded = downgraded
    }

    /**
     * Starts the write of the next step, unless one is in flight. Checks the shared keys again after it, with a delay
     * if the write was not applied.
     */
    private fun launchWrite() {
        if (isWriting) return
        isWriting = true
        scope.launch(CoroutineName("upgrade write")) {
            try {
                val result = state.transact(1, Urgency.ACCEPTANCE) { nextTransaction() }
                if (result !is TransactionResult.Applied) delay(retryDelayMs)
            } finally {
                isWriting = false
            }
            sharedKeysChanged()
        }
    }

    /**
     * Returns the write of the next step, or null if that step needs no write.
     *
     * The write is conditional on the key's revision, so a delayed or repeated one changes nothing. The announcements
     * that a raise relies on need no condition, since they are never withdrawn.
     */
    private fun nextTransaction(): Transaction? =
        when (nextStep()) {
            UpgradeStep.Announce -> conditionalWrite(Keys.version(settings.host), targetFormat)
            UpgradeStep.Raise -> conditionalWrite(Keys.FORMAT, UpgradePlan.newestAnnouncedByAll(sharedKeys, hosts))
            else -> null
        }

    private fun conditionalWrite(
        key: String,
        version: Long,
    ): Transaction {
        log.info("upgrade: writing {} = {}", key, version)
        val value = buildJsonObject { put(UpgradePlan.VERSION_FIELD, version) }
        return Transaction(listOf(Compare(key, sharedKeys.modRevision(key))), listOf(Put(key, value)))
    }

    private companion object {
        const val RETRIES_PER_LEASE = 20
    }
}
