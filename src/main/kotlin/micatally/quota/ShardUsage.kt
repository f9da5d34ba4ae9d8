package micatally.quota

import micatally.job.Job

/** Identifies the allotment of a team in one shard. */
data class AllotmentId(
    val shard: String,
    val team: String,
)

/** Counts what the attempts in this controller's shards take, by shard and team. */
class ShardUsage {
    private val used = HashMap<AllotmentId, Share>()

    /** Returns what the attempts take, or [Share.NONE] if there are no attempts. */
    fun of(id: AllotmentId) = used[id] ?: Share.NONE

    /** Adds what one attempt of the job takes. */
    fun add(job: Job) = change(job, 1)

    /** Subtracts what one attempt of the job takes. */
    fun remove(job: Job) = change(job, -1)

    private fun change(
        job: Job,
        tasks: Int,
    ) {
        // Only the record of a job that is over has no specification. Such a job has no attempts.
        val spec = job.spec ?: return
        val id = AllotmentId(job.shard.name, spec.team)
        used[id] = of(id) + spec.taskShare * tasks
    }

    /** Removes the use of all teams in the shard. */
    fun forget(shard: String) {
        used.keys.removeIf { it.shard == shard }
    }
}
