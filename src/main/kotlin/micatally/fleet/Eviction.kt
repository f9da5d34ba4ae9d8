package micatally.fleet

/** How far the graceful eviction of a machine is. */
enum class EvictionState {
    /** The machine gets no new tasks, and the job owners move those that can be moved. */
    EVICTING,

    /** Nothing is on the machine; it is deleted once all controllers know of the eviction. */
    EMPTY,
}

/**
 * The graceful eviction of one machine.
 *
 * @property beganAt when it began, or when this process became the fleet manager while it was under way
 */
class Eviction(
    val beganAt: Long,
    state: EvictionState,
) {
    var state = state
        private set
    var stateSince = beganAt
        private set

    /** The one place where an eviction changes its state. */
    fun transitionTo(
        next: EvictionState,
        now: Long,
    ) {
        if (next == state) return
        state = next
        stateSince = now
    }
}
