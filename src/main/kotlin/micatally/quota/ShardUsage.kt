package micatally.quota

import micatally.job.Job

/** Names the allotment of a team in one shard. */
data class AllotmentId(
    val shard: String,
    val team: String,
)

/** What the attempts of this controller's shards take, by shard and team. */
class ShardUsage {
    private val used = HashMap<AllotmentId, Share>()

    /** Returns [Share.NONE] if there are no attempts. */
    fun of(id: AllotmentId) = used[id] ?: Share.NONE

    /** Adds what one attempt of the job takes. */
    fun add(job: Job) = change(job, 1)

    /** Subtracts what one attempt of the job takes. */
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

    /** Drops the usage of all teams in the shard. */
    fun forget(shard: String) {
        used.keys.removeIf { it.shard == shard }
    }
}
