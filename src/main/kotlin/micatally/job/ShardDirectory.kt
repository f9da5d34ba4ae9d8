package micatally.job

import java.util.Collections

/** The shards that this controller leads, and the jobs in them. */
class ShardDirectory(
    private val localHost: String,
) {
    private val shards = HashMap<String, JobShard>()

    /** A read-only view by name. */
    val byName: Map<String, JobShard> = Collections.unmodifiableMap(shards)

    /** Whether this controller's own shard and all others that it leads are loaded, so that all their jobs are known here. */
    val areAllLoaded get() = ownShard() != null && shards.values.all { it.state == ShardState.ACTIVE }

    /** Adds [shard], in place of a former term of leadership of the same shard. */
    fun add(shard: JobShard) {
        shards[shard.name] = shard
    }

    /** Removes [shard], but not a later term of leadership of the same shard. */
    fun remove(shard: JobShard) {
        shards.remove(shard.name, shard)
    }

    /** The shard that belongs to this host and takes its new jobs, or null while another controller leads it. */
    fun ownShard(): JobShard? = byName[localHost]?.takeIf { it.isLedHere }

    /**
     * The job, or null if no shard led here has it. A submission that was repeated at another controller may stand in two
     * shards until it turns out which of them is stored; the stored one is preferred.
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
     * Whether the job is stored in a loaded shard that is led here, so that any of its tasks without an attempt here is a
     * stray. A job that is not stored yet may turn out to belong to another controller, if it was submitted there before and
     * is repeated here; its tasks are then no strays.
     */
    fun isLedHere(jobId: String): Boolean =
        shards.values.any { shard ->
            shard.state == ShardState.ACTIVE &&
                shard.jobs[jobId]?.let { it.durableState != JobState.NEW } == true
        }
}
