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
 * Carries an upgrade on: announces this host's version, raises the format once all hosts have announced it, and tells the
 * other parts when forms of the current version may be written.
 */
class Upgrade(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val sharedKeys: SharedKeyCache,
    /** The format that this host is ready for. */
    private val wanted: Long,
    private val onUniform: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("micatally.upgrade")
    private val hosts = settings.peers.map { it.host } + settings.host
    private val retryMs = settings.leaseMs / RETRIES_A_LEASE

    /** What this node knows; it may lag behind the state service, which only makes it more careful. */
    var phase = UpgradePhase.MIXED
        private set
    val isUniform get() = phase == UpgradePhase.UNIFORM

    /** Whether all controllers can read teams in the state service, so that they may be written. */
    val mayStoreTeams get() = UpgradePlan.format(sharedKeys) >= FormatVersion.STORED_TEAMS

    /** Whether this host has ever been ready for stored teams, so that others may have written them unseen. */
    val mayTeamsBeStored
        get() =
            wanted >= FormatVersion.STORED_TEAMS ||
                UpgradePlan.announced(sharedKeys, settings.host) >= FormatVersion.STORED_TEAMS

    private var writing = false
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

    /** Looks at the shared keys after a change. */
    fun sharedChanged() {
        if (sharedKeys.revision < 0) return
        if (UpgradePlan.phase(sharedKeys) == UpgradePhase.UNIFORM) transitionTo(UpgradePhase.UNIFORM)
        warnOfDowngrades()
        val step = UpgradePlan.next(sharedKeys, settings.host, hosts, wanted)
        if (step != lastStep) report(step)
        lastStep = step
        if (step == UpgradeStep.Announce || step == UpgradeStep.Raise) write()
    }

    private fun report(step: UpgradeStep) {
        if (step is UpgradeStep.WaitFor) {
            log.info(
                "upgrade: {} of {} controllers are new, waiting for {}",
                hosts.size - step.hosts.size,
                hosts.size,
                step.hosts,
            )
        }
    }

    private fun warnOfDowngrades() {
        val downgraded = UpgradePlan.downgraded(sharedKeys, hosts)
        if (downgraded != lastDowngraded && downgraded.isNotEmpty()) {
            log.warn("upgrade: {} run an older version than they had announced", downgraded)
        }
        lastDowngraded = downgraded
    }

    private fun write() {
        if (writing) return
        writing = true
        scope.launch {
            try {
                val result = state.transact(1, Urgency.ACCEPTANCE) { transaction() }
                if (result !is TransactionResult.Applied) delay(retryMs)
            } finally {
                writing = false
            }
            sharedChanged()
        }
    }

    /**
     * Conditional on the key's mark, so late and repeated writes change nothing. The announcements that a raise rests on
     * need no condition: they are never taken back.
     */
    private fun transaction(): Transaction? {
        val step = UpgradePlan.next(sharedKeys, settings.host, hosts, wanted)
        val (key, version) =
            when (step) {
                UpgradeStep.Announce -> Keys.version(settings.host) to wanted
                UpgradeStep.Raise -> Keys.FORMAT to UpgradePlan.common(sharedKeys, hosts)
                else -> return null
            }
        log.info("upgrade: writing {} = {}", key, version)
        val value = buildJsonObject { put(UpgradePlan.VERSION_FIELD, version) }
        return Transaction(listOf(Compare(key, sharedKeys.modRevision(key))), listOf(Put(key, value)))
    }

    private companion object {
        const val RETRIES_A_LEASE = 20
    }
}
