package micatally.job

import micatally.worker.MachineRegistry

/**
 * Keeps jobs in memory that are over and have no attempts left, for [keepMs] and until no machine lists a task of them:
 * only the leader of a job's shard clears the entries of its ended tasks, and it has to know the job for that.
 *
 * @param keepMs how long a job is kept at least, in milliseconds
 */
class EndedJobs(
    private val machines: MachineRegistry,
    private val keepMs: Long,
) {
    /** When each job ended. */
    private val endedAtMs = LinkedHashMap<Job, Long>()

    /** Adds a job that has ended. */
    fun add(
        job: Job,
        nowMs: Long,
    ) {
        endedAtMs.putIfAbsent(job, nowMs)
    }

    /** Removes from memory what need not be kept any more. */
    fun forget(nowMs: Long) {
        endedAtMs.keys.removeIf { !it.shard.isLedHere }
        if (endedAtMs.values.none { nowMs - it >= keepMs }) return
        val listed = listedJobs()
        endedAtMs.entries.removeIf { (job, atMs) -> nowMs - atMs >= keepMs && forget(job, listed) }
    }

    private fun listedJobs(): Set<String> {
        val listed = HashSet<String>()
        for (machine in machines.byName.values) {
            if (!machine.deleted) for (task in machine.tasks) listed.add(task.jobId)
        }
        return listed
    }

    private fun forget(
        job: Job,
        listed: Set<String>,
    ): Boolean {
        if (job.attempts.isNotEmpty()) return true
        if (job.jobId in listed) return false
        job.shard.jobs.remove(job.jobId, job)
        return true
    }
}
