package micatally.fleet

/** The phase of a machine's graceful eviction. */
enum class EvictionState {
    /** The machine gets no new tasks, and the shard leaders move those of its tasks that can be moved. */
    EVICTING,

    /** No task is on the machine. It is deleted once all controllers know of the eviction. */
    EMPTY,
}

/**
 * The graceful eviction of one machine. Times are in milliseconds on this process's clock.
 *
 * @property beganAtMs when the eviction began, or when this process became the fleet manager if it was under way by
 * then
 */
class Eviction(
    val beganAtMs: Long,
    state: EvictionState,
) {
    var state = state
        private set

    /** Since when the eviction's record is known to be in the state store; null while it is not. */
    var recordedSinceMs: Long? = null

    /** When the eviction entered its present state. */
    var stateSinceMs = beganAtMs
        private set

    /** Enters the state [next]; does nothing if that is the present state. No other function changes the state. */
    fun transitionTo(
        next: EvictionState,
        now: Long,
    ) {
        if (next == state) return
        state = next
        stateSinceMs = now
    }
}
