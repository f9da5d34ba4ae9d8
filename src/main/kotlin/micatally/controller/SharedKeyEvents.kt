package micatally.controller

import micatally.job.JobManager
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.quota.Quota
import micatally.worker.MachineRegistry

/** What the change of one shared key means for this controller. */
private sealed interface SharedKeyEvent {
    /** A machine is marked as deleted, which proves that none of its tasks runs any more. */
    class MachineDeleted(
        val machine: String,
    ) : SharedKeyEvent

    /** A controller has written or deleted the list of a cancelled job's tasks at [key], or a part of it. */
    class CancelledTasksChanged(
        val key: String,
    ) : SharedKeyEvent

    /** The allotments of a team have changed. */
    class AllotmentsChanged(
        val team: String,
    ) : SharedKeyEvent

    /** The graceful eviction of a machine has begun or was cancelled. */
    class DrainChanged(
        val machine: String,
        val isDraining: Boolean,
    ) : SharedKeyEvent
}

/** Turns each changed shared key into an event and passes it on to the part of the controller that it concerns. */
class SharedKeyEvents(
    private val sharedKeys: SharedKeyCache,
    private val machines: MachineRegistry,
    private val jobManager: JobManager,
    private val quota: Quota,
) {
    /** Handles the changes of [keys] in their order. [sharedKeys] must already hold the new values. */
    fun handleChanges(keys: Set<String>) {
        for (key in keys) decode(key)?.let { handle(it) }
    }

    /** Returns the event for a changed key, or null if nothing follows from the change of this key alone. */
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
