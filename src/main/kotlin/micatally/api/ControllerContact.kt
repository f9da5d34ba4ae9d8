package micatally.api

import micatally.membership.Membership
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.worker.WorkerReach

/** How long after the last contact the state store counts as reachable, in tenths of a worker's lease. */
internal const val STATE_CONTACT_TENTHS = 3

/** The divisor for constants in tenths. */
internal const val TENTHS = 10

/** Tells which of the contacts that users' requests depend on this controller has at the moment. */
class ControllerContact(
    private val settings: Settings,
    private val stateStore: StateStoreClient,
    private val membership: Membership,
    private val workerReach: WorkerReach,
) {
    /** Whether the state store has proven this controller's view of the shared keys lately. */
    val isStateReachable get() = membership.viewAgeMs < settings.leaseMs * STATE_CONTACT_TENTHS / TENTHS

    /** While this is true, no other controller can have become the leader of this controller's own shard. */
    val holdsLease get() = membership.leaseHolds()

    /** Whether no worker can be reached, although other controllers hear workers. */
    val isCutOffFromWorkers get() = workerReach.isCutOff

    /** Whether more transactions wait to be sent than the number of writes that the state store takes in one second. */
    val isWriteQueueFull get() = stateStore.waitingWrites > settings.stateWriteRps
}
