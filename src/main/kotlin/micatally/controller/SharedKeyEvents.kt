package micatally.controller

import micatally.job.JobManager
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.quota.Quota
import micatally.worker.MachineRegistry

/** What the change of one shared key means to this controller. */
private sealed interface SharedKeyEvent {
    /** A machine is marked as deleted: none of its tasks runs any more. */
    class MachineDeleted(
        val machine: String,
    ) : SharedKeyEvent

    /** A controller has published tasks that were cancelled, or has withdrawn the list of them at [key]. */
    class CancelledTasksChanged(
        val key: String,
    ) : SharedKeyEvent

    /** The allotments of a team have changed. */
    class AllotmentsChanged(
        val team: String,
    ) : SharedKeyEvent

    /** The graceful eviction of a machine has begun or was called off. */
    class DrainChanged(
        val machine: String,
        val isDraining: Boolean,
    ) : SharedKeyEvent
}

/** Reads the changes of shared keys as events, one per key, and passes each on to the part that it concerns. */
class SharedKeyEvents(
    private val sharedKeys: SharedKeyCache,
    private val machines: MachineRegistry,
    private val jobManager: JobManager,
    private val quota: Quota,
) {
    /** Handles the change of each of [keys] in their order; [sharedKeys] already holds the new values. */
    fun handleChanges(keys: Set<String>) {
        for (key in keys) decode(key)?.let { handle(it) }
    }

    /** Null if the change of the key alone means nothing here. */
    private fun decode(key: String): SharedKeyEvent? =
        when {
            key.startsWith(Keys.DELETED_MACHINE) ->
                SharedKeyEvent.MachineDeleted(key.removePrefix(Keys.DELETED_MACHINE)).takeIf { sharedKeys.has(key) }
            key.startsWith(Keys.CANCELLED_TASKS) -> SharedKeyEvent.CancelledTasksChanged(key)
            key.startsWith(Keys.TEAM) -> SharedKeyEvent.AllotmentsChanged(key.removePrefix(Keys.TEAM))
            key.startsWith(Keys.DRAIN) ->
                SharedKeyEvent.DrainChanged(key.removePrefix(Keys.DRAIN), sharedKeys.has(key))
            else -> null
        }

    private fun handle(event: SharedKeyEvent) {
        when (event) {
            is SharedKeyEvent.MachineDeleted -> {
                machines.addDeletedName(event.machine)
                machines.of(event.machine)?.let { jobManager.deleted(it) }
            }
            is SharedKeyEvent.CancelledTasksChanged -> jobManager.cancellations.published(event.key)
            is SharedKeyEvent.AllotmentsChanged -> quota.allotmentsChanged(event.team)
            is SharedKeyEvent.DrainChanged -> machines.of(event.machine)?.draining = event.isDraining
        }
    }
}
