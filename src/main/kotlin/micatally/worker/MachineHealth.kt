package micatally.worker

/**
 * What failed tasks say about a machine. One that is faulty fails the tasks of every job, so it takes the failures of two jobs to
 * exclude it, or of one that is known to run elsewhere; a success on it clears it. Used from the event loop only.
 */
class MachineHealth {
    private val accusedAtMs = LinkedHashMap<String, Long>()
    private val excludedBy = HashSet<String>()
    private var exclusionCount = 0
    private var succeededAtMs: Long? = null

    /** Until when nothing is started on the machine; 0: it is not excluded. */
    var excludedUntil = 0L
        private set

    /** A task completed here, or has run for long. */
    fun succeeded(nowMs: Long) {
        succeededAtMs = nowMs
        accusedAtMs.clear()
    }

    /** Whether the last success here is at most [memoryMs] ago. */
    fun hasSucceeded(
        nowMs: Long,
        memoryMs: Long,
    ) = succeededAtMs?.let { nowMs - it <= memoryMs } ?: false

    /**
     * A task of this job failed here. Accusations count for [memoryMs].
     *
     * @param runsElsewhere the job is known to run on other machines, and nothing succeeds on this one
     * @return true if the machine is excluded from now on
     */
    fun accuse(
        job: String,
        runsElsewhere: Boolean,
        nowMs: Long,
        memoryMs: Long,
    ): Boolean {
        accusedAtMs.values.removeIf { nowMs - it > memoryMs }
        accusedAtMs[job] = nowMs
        val isEnough = accusedAtMs.size >= REQUIRED_ACCUSERS || runsElsewhere
        if (!isEnough || nowMs < excludedUntil) return false
        exclusionCount++
        excludedBy.clear()
        excludedBy.addAll(accusedAtMs.keys)
        accusedAtMs.clear()
        succeededAtMs = null
        excludedUntil = nowMs + exclusionMs(memoryMs)
        return true
    }

    /** The first exclusion lasts half as long as accusations count, the later ones up to twice as long as those do. */
    private fun exclusionMs(memoryMs: Long) = memoryMs * minOf(exclusionCount, MAX_COUNTED_EXCLUSIONS) / 2

    /**
     * The job has turned out to fail everywhere: what it said of the machine counts no more.
     *
     * @return true if the machine is no longer excluded by that
     */
    fun cancel(job: String): Boolean {
        accusedAtMs.remove(job)
        val isRemoved = excludedBy.remove(job)
        val isStillExcluded = excludedBy.size >= REQUIRED_ACCUSERS
        if (!isRemoved || isStillExcluded || excludedUntil == 0L) return false
        for (other in excludedBy) accusedAtMs[other] = excludedUntil
        excludedBy.clear()
        excludedUntil = 0L
        exclusionCount = maxOf(0, exclusionCount - 1)
        return true
    }

    private companion object {
        const val REQUIRED_ACCUSERS = 2
        const val MAX_COUNTED_EXCLUSIONS = 4
    }
}
