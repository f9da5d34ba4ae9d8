package micatally.fleet

import kotlinx.coroutines.delay
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Settings
import micatally.wire.ListedMachine
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/**
 * Reads the cloud's list of machines while this process is the fleet manager. It also contains machines from which no
 * controller has received a heartbeat, and machines that failed to start.
 */
class CloudInventory(
    private val settings: Settings,
    private val cloud: CloudClient,
    private val leadership: FleetLeadership,
    private val sharedKeys: SharedKeyCache,
    private val machines: MachineRegistry,
    private val instances: ProvisionedInstances,
    private val scaleIn: ScaleIn,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")

    /** Unknown machine statuses that were logged already. */
    private val unknownStatuses = HashSet<String>()

    /** Reads the list at regular intervals; never returns. */
    suspend fun pollLoop() {
        val minPauseMs = (REQUESTS_PER_LISTING * MS_PER_SECOND / settings.cloudRps).toLong()
        val pauseMs = maxOf(settings.listLagMs / 2, minPauseMs)
        while (true) {
            delay(pauseMs)
            if (!leadership.isLeader) continue
            val termAtRequest = leadership.term
            val listing = cloud.list() ?: continue
            if (leadership.term != termAtRequest) continue
            for (listed in listing) apply(listed, nowMs())
        }
    }

    /** Requests the deletion of a machine that failed to start; records any other one that is not deleted. */
    private fun apply(
        listed: ListedMachine,
        now: Long,
    ) {
        val isDeleted = sharedKeys.has(Keys.DELETED_MACHINE + listed.name) || listed.name in machines.deletedNames
        if (isDeleted) return
        when (listed.status) {
            ListedMachine.FAILED ->
                scaleIn.request(
                    DeletionRequest(listed.name, DeletionReason.FAILED_IN_CLOUD) { true },
                )
            ListedMachine.STARTING -> instances.applyListed(listed, now)
            ListedMachine.RUNNING -> {
                instances.applyListed(listed, now)
                machines.findOrAdd(listed.name, listed.addr, listed.type, listed.zone, listed.isSpot)
            }
            else -> warnOfUnknownStatus(listed)
        }
    }

    private fun warnOfUnknownStatus(listed: ListedMachine) {
        if (!unknownStatuses.add(listed.status)) return
        log.warn("machine {} has an unknown status in the cloud's list: {}", listed.name, listed.status)
    }

    private companion object {
        const val MS_PER_SECOND = 1000

        /** The pause between two lists leaves room for at least this many requests at the cloud's rate limit. */
        const val REQUESTS_PER_LISTING = 3
    }
}
