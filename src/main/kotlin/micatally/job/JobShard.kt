package micatally.job

import micatally.membership.ShardLeader

/** The state of a shard in this controller's memory. A shard moves through the states in this order only. */
enum class ShardState {
    /** The records of its jobs are being read. New jobs may be accepted, but no task is started or stopped yet. */
    LOADING,

    /** All its jobs are in memory, and their tasks may be started and stopped. */
    ACTIVE,

    /** Another controller leads it. Nothing may be written or sent for it. */
    LOST,
}

/**
 * A shard during one term of leadership of this controller. A shard holds the jobs that were accepted by one host, and
 * has the name of that host.
 *
 * @property leaderSinceMs when the term began, in ms of this controller's monotonic clock
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

    /**
     * Whether a record of the shard can't be decoded. The shard then stays unloaded until an operator repairs the
     * record.
     */
    var isUnreadable = false

    /** Moves the shard forward to [next]; the only way to change its state. */
    fun transitionTo(next: ShardState) {
        check(next.ordinal > state.ordinal) { "shard $name may not go from $state to $next" }
        state = next
    }

    /**
     * Identifies the term of leadership: the name of the process, and the fencing token at which it acquired the shard.
     * The process alone is not enough, because it may lose a shard and acquire it again.
     */
    val term = "${leader.process}:${leader.fencingToken}"

    /** Whether this controller still leads the shard, as far as it knows. */
    val isLedHere get() = state != ShardState.LOST
}
