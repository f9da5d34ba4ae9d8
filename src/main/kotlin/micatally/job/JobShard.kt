package micatally.job

import micatally.membership.ShardLeader

/** ACTIVE: its jobs are known and may be moved. LOST: another node holds it; nothing may be written or sent for it. */
enum class ShardState { LOADING, ACTIVE, LOST }

/** A shard in this node's hands: the jobs accepted by one controller.
 *
 * @property acquiredAtMs when this hold on it began, on this node's clock */
class JobShard(
    val name: String,
    val leader: ShardLeader,
    val leaderSinceMs: Long = 0,
) {
    var state = ShardState.LOADING
        private set
    val jobs = HashMap<String, Job>()

    /** Whether a record of it can't be read, so that it is not loaded before somebody mends that. */
    var isUnreadable = false

    /** The one place where a shard changes its state. */
    fun transitionTo(next: ShardState) {
        check(next.ordinal > state.ordinal) { "shard $name may not go from $state to $next" }
        state = next
    }

    /** Names this hold on the shard: the process, and the fencing token at which it acquired it. A process may lose it and take it back. */
    val term = "${leader.process}:${leader.fencingToken}"

    val isLedHere get() = state != ShardState.LOST
}
