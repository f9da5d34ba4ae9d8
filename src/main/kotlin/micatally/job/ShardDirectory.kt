package micatally.job

import java.util.Collections

/** The shards that this controller leads, and the jobs in them. */
class ShardDirectory(
    private val localHost: String,
) {
    private val shards = HashMap<String, JobShard>()

    /** The shards by name; a read-only view. */
    val byName: Map<String, JobShard> = Collections.unmodifiableMap(shards)

    /**
     * Whether this controller leads its own shard, and has loaded all shards that it leads. Only then does it know all
     * jobs that it is responsible for.
     */
    val areAllLoaded get() = ownShard() != null && shards.values.all { it.state == ShardState.ACTIVE }

    /** Adds [shard], and replaces a former term of leadership of the same shard. */
    fun add(shard: JobShard) {
        shards[shard.name] = shard
    }

    /** Removes [shard], but not a later term of leadership of the same shard. */
    fun remove(shard: JobShard) {
        shards.remove(shard.name, shard)
    }

    /** The shard of this host, to which new jobs are added; null while this controller does not lead it. */
    fun ownShard(): JobShard? = byName[localHost]?.takeIf { it.isLedHere }

    /**
     * The job, or null if no shard led here has it. If a submission was repeated at another controller, the job may be
     * in two shards until it is known which one is stored. The stored one is returned if there is one.
     */
    fun job(jobId: String): Job? {
        var notStored: Job? = null
        for (shard in shards.values) {
            if (!shard.isLedHere) continue
            val job = shard.jobs[jobId] ?: continue
            if (job.durableState != JobState.NEW) return job
            notStored = job
        }
        return notStored
    }

    /** The jobs of all loaded shards that are neither done nor cancelled. */
    fun openJobs(): List<Job> =
        shards.values
            .filter { it.state == ShardState.ACTIVE }
            .flatMap { shard -> shard.jobs.values.filter { it.wantsTasks } }

    /**
     * Whether the job is stored in a loaded shard that is led here. If so, any of its tasks that a machine lists
     * without an attempt here must be stopped. A job that is not stored yet may be a repeated submission that belongs
     * to another controller, whose tasks must go on.
     */
    fun isLedHere(jobId: String): Boolean =
        shards.values.any { shard ->
            shard.state == ShardState.ACTIVE &&
                shard.jobs[jobId]?.let { it.durableState != JobState.NEW } == true
        }
}
