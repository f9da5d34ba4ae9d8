package micatally.membership

import micatally.settings.Settings
import org.slf4j.LoggerFactory

/** This controller's right to act, as far as it follows from the time since it last had proof of contact. */
internal class Leadership(
    private val settings: Settings,
    private val sharedKeys: SharedKeyCache,
    private val conditions: MembershipConditions,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.membership")
    private var hasStarted = false

    /** When the last request left whose answer proved the view of the shared keys. */
    private var viewProvenAt = Long.MIN_VALUE / 2

    var state = LeadershipState.STARTING
        private set

    /** Up to this time this controller is sure to know every cancellation that has been confirmed to a user. */
    private val cancellationsKnownAt get() = maxOf(viewProvenAt, conditions.peersConfirmedAt())

    /** Time since the view of the shared keys was last proven, in milliseconds. */
    val viewAgeMs get() = nowMs() - viewProvenAt

    /**
     * Whether a task may be started now. A cancellation that this controller neither sees in its view nor has confirmed with its
     * peers was published after [cancellationsKnownAt], and its user gets the confirmation [Settings.cancellationDelayMs] after
     * that at the earliest. Starts end before then, so no task is started after the confirmation of its cancellation.
     */
    val mayStartTasks
        get() = nowMs() - cancellationsKnownAt < settings.startBoundMs && conditions.mayStartTasks(viewAgeMs)

    /** The view of the shared keys contains every change made before this time. */
    fun viewProven(atMs: Long) {
        viewProvenAt = maxOf(viewProvenAt, atMs)
    }

    /** Leaves [LeadershipState.STARTING]: this controller has a lease and a view of the shared keys. */
    fun begin() {
        hasStarted = true
        check()
    }

    /** Brings [state] up to date with the clock, as leadership expires by time alone, and returns it. */
    fun check(): LeadershipState {
        if (!hasStarted) return state
        val isExpired = nowMs() - cancellationsKnownAt > settings.leadershipMs
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
