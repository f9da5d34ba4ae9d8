package micatally.quota

import micatally.job.Job

/** A team's allotment in one shard. */
data class AllotmentId(
    val shard: String,
    val team: String,
)

/** What the attempts of this node's shards take, by shard and team. */
class ShardUsage {
    private val used = HashMap<AllotmentId, Share>()

    fun of(id: AllotmentId) = used[id] ?: Share.NONE

    fun add(job: Job) = change(job, 1)

    fun remove(job: Job) = change(job, -1)

    private fun change(
        job: Job,
        tasks: Int,
    ) {
        // A record without a spec is that of a job that is over and has no attempts.
        val spec = job.spec ?: return
        val id = AllotmentId(job.shard.name, spec.team)
        used[id] = of(id) + spec.taskShare * tasks
    }

    fun forget(shard: String) {
        used.keys.removeIf { it.shard == shard }
    }
}
