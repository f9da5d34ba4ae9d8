package micatally.membership

import micatally.settings.Settings
import org.slf4j.LoggerFactory

/**
 * Decides whether this controller may answer heartbeats ([state]) and start tasks ([mayStartTasks]). Both depend on the
 * time since it was last sure to know all cancellations, from the shared keys or from its peers.
 */
internal class Leadership(
    private val settings: Settings,
    private val sharedKeys: SharedKeyCache,
    private val conditions: MembershipConditions,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.membership")
    private var hasStarted = false

    /**
     * When the last request was sent whose answer brought the shared keys up to date, in ms on this controller's clock.
     * The copy of the shared keys contains every change made before this time.
     */
    private var viewProvenAtMs = Long.MIN_VALUE / 2
    private val contactPeriod = ContactPeriod(settings.leaseMs / 2, nowMs)

    /** The leadership as of the last [check]. */
    var state = LeadershipState.STARTING
        private set

    /**
     * This controller is sure to know every cancellation that was published before this time, in ms on its clock: from
     * the shared keys or from all its peers, whichever time is later.
     */
    private val cancellationsKnownUntilMs get() = maxOf(viewProvenAtMs, conditions.peersConfirmedAt())

    /** The time since the copy of the shared keys was last proven to be up to date, in ms. */
    val viewAgeMs get() = nowMs() - viewProvenAtMs

    /** Since when this controller has been in contact with the others; null while it is not. See [ContactPeriod]. */
    val contactSinceMs get() = contactPeriod.sinceMs

    /**
     * Whether a task may be started now.
     *
     * No task may be started after its cancellation has been confirmed to the user. A cancellation that this controller
     * does not know was published after [cancellationsKnownUntilMs], and its user gets the confirmation
     * [Settings.cancellationDelayMs] later at the earliest. [Settings.startBoundMs] is shorter than that delay, so this
     * controller has stopped starting tasks by then.
     */
    val mayStartTasks
        get() = nowMs() - cancellationsKnownUntilMs < settings.startBoundMs && conditions.mayStartTasks(viewAgeMs)

    /** Called when the copy of the shared keys is known to contain every change made before [atMs]. */
    fun viewProven(atMs: Long) {
        viewProvenAtMs = maxOf(viewProvenAtMs, atMs)
        contactPeriod.proven(atMs)
    }

    /**
     * Leaves [LeadershipState.STARTING]. Called once, when this controller has a lease and has read the shared keys for
     * the first time.
     */
    fun begin() {
        hasStarted = true
        check()
    }

    /** Updates [state] and returns it. To be called before each use, since leadership expires with time alone. */
    fun check(): LeadershipState {
        contactPeriod.proven(cancellationsKnownUntilMs)
        if (!hasStarted) return state
        val isExpired = nowMs() - cancellationsKnownUntilMs > settings.leadershipMs
        if (isExpired) {
            transitionTo(LeadershipState.EXPIRED, "no proof of state contact for ${settings.leadershipMs} ms")
        } else {
            transitionTo(LeadershipState.LEADING, "state contact")
        }
        return state
    }

    /** The one place where the state changes. */
    private fun transitionTo(
        next: LeadershipState,
        why: String,
    ) {
        if (state == next) return
        log.info("leadership {} -> {}: {} fencingToken={}", state, next, why, sharedKeys.fencingToken)
        state = next
    }
}
