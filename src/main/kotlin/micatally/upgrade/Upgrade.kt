package micatally.upgrade

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
 * Carries out an upgrade of the stored forms: announces this host's version, raises the format once all hosts have
 * announced it, and tells which forms may be written.
 *
 * What is known here may lag behind the state store, which only delays the use of newer forms.
 *
 * @param targetFormat the format that this host aims at, see [FormatVersion]
 * @param onUniform called once, when forms of the current version may be written
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

    /** Whether forms of the current version may be written. */
    val isUniform get() = phase == UpgradePhase.UNIFORM

    /** Whether all controllers can read teams in the state store, so that they may be written. */
    val mayStoreTeams get() = UpgradePlan.format(sharedKeys) >= FormatVersion.STORED_TEAMS

    /**
     * Whether this host has ever been ready for stored teams, so that others may have written them without its
     * knowledge.
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
        check(next == UpgradePhase.UNIFORM) { "a raised format is never lowered" }
        phase = next
        log.info("upgrade finished: all controllers write format {}", UpgradePlan.format(sharedKeys))
        onUniform()
    }

    /** The shared keys have changed: takes the next step if there is one. Does not wait for the state store. */
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

    /** At most one write is under way. After it the shared keys are looked at again, after a failed one with a delay. */
    private fun launchWrite() {
        if (isWriting) return
        isWriting = true
        scope.launch {
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
     * The write of the present step; null if it has none any more.
     *
     * It is conditional on the key's revision, so late and repeated writes change nothing. The announcements that a raise
     * relies on need no condition: they are never withdrawn.
     */
    private fun nextTransaction(): Transaction? =
        when (nextStep()) {
            UpgradeStep.Announce -> writeOf(Keys.version(settings.host), targetFormat)
            UpgradeStep.Raise -> writeOf(Keys.FORMAT, UpgradePlan.common(sharedKeys, hosts))
            else -> null
        }

    private fun writeOf(
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
