package micatally.worker

/**
 * Decides from the failures and successes of tasks on one machine whether the machine is faulty and excluded from
 * placement.
 *
 * A faulty machine fails the tasks of every job. So it is excluded after failures of two jobs, or of one job that is
 * known to run on other machines. A success on the machine clears the failures so far. Used from the event loop only.
 */
class MachineHealth {
    /** Failures that count against the machine, by job; the value is the time from which the failure's age counts. */
    private val failedAtMs = LinkedHashMap<String, Long>()

    /** The jobs whose failures led to the present exclusion. */
    private val excludedBy = HashSet<String>()
    private var exclusionCount = 0
    private var succeededAtMs: Long? = null

    /** No task is started on the machine before this time; 0 if it is not excluded. */
    var excludedUntil = 0L
        private set

    /** Records that a task completed on the machine. */
    fun succeeded(nowMs: Long) {
        succeededAtMs = nowMs
        failedAtMs.clear()
    }

    /** Whether the last success on the machine is at most [memoryMs] ago. */
    fun hasSucceeded(
        nowMs: Long,
        memoryMs: Long,
    ) = succeededAtMs?.let { nowMs - it <= memoryMs } ?: false

    /**
     * Records that a task of this job failed on the machine. A failure counts for [memoryMs].
     *
     * @param runsElsewhere whether the job is known to run on other machines while nothing is known to succeed on this
     *   one
     * @return true if this failure excludes the machine
     */
    fun recordFailure(
        job: String,
        runsElsewhere: Boolean,
        nowMs: Long,
        memoryMs: Long,
    ): Boolean {
        failedAtMs.values.removeIf { nowMs - it > memoryMs }
        failedAtMs[job] = nowMs
        val isEnough = failedAtMs.size >= REQUIRED_FAILED_JOBS || runsElsewhere
        if (!isEnough || nowMs < excludedUntil) return false
        exclusionCount++
        excludedBy.clear()
        excludedBy.addAll(failedAtMs.keys)
        failedAtMs.clear()
        succeededAtMs = null
        excludedUntil = nowMs + exclusionMs(memoryMs)
        return true
    }

    /**
     * The first exclusion lasts half of [memoryMs]. Each further one lasts longer by as much, up to twice [memoryMs].
     */
    private fun exclusionMs(memoryMs: Long) = memoryMs * minOf(exclusionCount, MAX_COUNTED_EXCLUSIONS) / 2

    /**
     * Withdraws the job's failures, because the job has turned out to fail on every machine.
     *
     * @return true if this ends the machine's exclusion
     */
    fun withdrawFailures(job: String): Boolean {
        failedAtMs.remove(job)
        val isRemoved = excludedBy.remove(job)
        val isStillExcluded = excludedBy.size >= REQUIRED_FAILED_JOBS
        if (!isRemoved || isStillExcluded || excludedUntil == 0L) return false
        for (other in excludedBy) failedAtMs[other] = excludedUntil
        excludedBy.clear()
        excludedUntil = 0L
        exclusionCount = maxOf(0, exclusionCount - 1)
        return true
    }

    private companion object {
        const val REQUIRED_FAILED_JOBS = 2
        const val MAX_COUNTED_EXCLUSIONS = 4
    }
}
