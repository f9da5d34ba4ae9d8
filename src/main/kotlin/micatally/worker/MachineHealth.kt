package micatally.worker

/**
 * What failed tasks say about a machine. One that is faulty fails the tasks of every job, so it takes the failures of two jobs to
 * exclude it, or of one that is known to run elsewhere; a success on it clears it.
 */
class MachineHealth {
    private val accusers = LinkedHashMap<String, Long>()
    private val excludedBy = HashSet<String>()
    private var exclusions = 0
    private var succeededAt: Long? = null

    /** Until when nothing is started on the machine. */
    var excludedUntil = 0L
        private set

    /** A task completed here, or has run for long. */
    fun succeeded(nowMs: Long) {
        succeededAt = nowMs
        accusers.clear()
    }

    fun hasSucceeded(
        nowMs: Long,
        memoryMs: Long,
    ) = succeededAt?.let { nowMs - it <= memoryMs } ?: false

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
        accusers.values.removeIf { nowMs - it > memoryMs }
        accusers[job] = nowMs
        val isEnough = accusers.size >= ACCUSERS || runsElsewhere
        if (!isEnough || nowMs < excludedUntil) return false
        exclusions++
        excludedBy.clear()
        excludedBy.addAll(accusers.keys)
        accusers.clear()
        succeededAt = null
        excludedUntil = nowMs + memoryMs * minOf(exclusions, MOST_EXCLUSIONS) / EXCLUSION_SHARE
        return true
    }

    /** The job has turned out to fail everywhere: what it said of the machine counts no more. True if that clears the machine. */
    fun cancel(job: String): Boolean {
        accusers.remove(job)
        if (!excludedBy.remove(job) || excludedBy.size >= ACCUSERS || excludedUntil == 0L) return false
        for (other in excludedBy) accusers[other] = excludedUntil
        excludedBy.clear()
        excludedUntil = 0L
        exclusions = maxOf(0, exclusions - 1)
        return true
    }

    private companion object {
        const val ACCUSERS = 2

        /** The first exclusion lasts half as long as accusations count, the later ones up to twice as long as those do. */
        const val EXCLUSION_SHARE = 2
        const val MOST_EXCLUSIONS = 4
    }
}
