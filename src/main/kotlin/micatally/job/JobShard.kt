package micatally.job

import micatally.membership.ShardLeader

/** The state of a shard in this controller's memory; it only moves forward. */
enum class ShardState {
    /** Its jobs are being read. New jobs may be accepted, but nothing is started or stopped yet. */
    LOADING,

    /** All its jobs are in memory, and their tasks may be started and stopped. */
    ACTIVE,

    /** Another controller leads it. Nothing may be written or sent for it. */
    LOST,
}

/**
 * A shard during one term of leadership of this controller: the jobs that one host has accepted.
 *
 * @property leaderSinceMs when the term began, on this controller's monotonic clock
 */
class JobShard(
    val name: String,
    val leader: ShardLeader,
    val leaderSinceMs: Long = 0,
) {
    var state = ShardState.LOADING
        private set

    /** The jobs by id. */
    val jobs = HashMap<String, Job>()

    /** Whether one of its records can't be understood, so that it is not loaded before an operator mends that. */
    var isUnreadable = false

    /** Moves the shard forward to [next]; the only way to change its state. */
    fun transitionTo(next: ShardState) {
        check(next.ordinal > state.ordinal) { "shard $name may not go from $state to $next" }
        state = next
    }

    /**
     * Identifies the term of leadership by the process and the fencing token at which it acquired the shard: a process may
     * lose a shard and acquire it again.
     */
    val term = "${leader.process}:${leader.fencingToken}"

    /** Whether this term of leadership goes on, as far as this controller knows. */
    val isLedHere get() = state != ShardState.LOST
}
