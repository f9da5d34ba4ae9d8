package micatally.api

import micatally.membership.Membership
import micatally.settings.Settings
import micatally.state.StateStoreClient
import micatally.worker.WorkerReach

/** How long after the last contact the state store counts as reachable, in tenths of the lease. */
internal const val STATE_CONTACT_TENTHS = 3
internal const val TENTHS = 10

/** Whom this controller can reach at the moment, as far as users' requests depend on it. */
class ControllerContact(
    private val settings: Settings,
    private val state: StateStoreClient,
    private val membership: Membership,
    private val reach: WorkerReach,
) {
    /** Whether the state store has responded lately. */
    val isStateReachable get() = membership.viewAgeMs < settings.leaseMs * STATE_CONTACT_TENTHS / TENTHS

    /** While this holds no other controller can have become the leader of this controller's shards. */
    val holdsLease get() = membership.leaseHolds()

    /** Whether no worker can be reached, although the state store and other controllers can. */
    val isCutOffFromWorkers get() = reach.isCutOff

    /** Whether more than a second's worth of writes waits to be sent to the state store. */
    val isWriteQueueFull get() = state.waitingWrites > settings.stateWriteRps
}
