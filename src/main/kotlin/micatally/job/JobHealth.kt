package micatally.job

/**
 * What the exits of a job's tasks say about the job itself: one that was submitted with a mistake fails on every machine until
 * its user cancels it. Kept in memory only; the next owner learns it anew from a few failures.
 */
class JobHealth {
    private val failedOn = LinkedHashSet<String>()
    private var evidence = 0
    private var longestFailedRunMs = 0L

    /** Whether a task of the job has completed, or a replica has run for longer than those that failed. */
    var hasSucceeded = false
        private set

    var failures = 0
        private set

    /** Failures since the last success. */
    var failuresInRow = 0
        private set

    /** Machines on which a task of the job failed, as far as they are remembered. */
    val machines: Set<String> get() = failedOn

    /** The job itself is likely to be at fault: it is tried with one task at a time, and accuses no machine. */
    val isSuspect get() = !hasSucceeded && evidence >= EVIDENCE_TO_SUSPECT

    /** @param isMachineProven tasks of other jobs succeed on the machine */
    fun failed(
        machine: String,
        ranMs: Long,
        isMachineProven: Boolean,
    ) {
        failures++
        failuresInRow++
        longestFailedRunMs = maxOf(longestFailedRunMs, ranMs)
        if (failedOn.size >= MOST_MACHINES || !failedOn.add(machine)) return
        evidence += if (isMachineProven) EVIDENCE_OF_PROVEN else 1
    }

    fun succeeded() {
        hasSucceeded = true
        failuresInRow = 0
    }

    /** Whether a task that has run for so long shows that the job can run. */
    fun isProvenBy(
        ranMs: Long,
        leastMs: Long,
    ) = ranMs > maxOf(longestFailedRunMs * LONGER_THAN_FAILURES, leastMs)

    /**
     * Whether the next task is better tried elsewhere. Once the job itself is suspected its failures say nothing of machines; it may
     * then go back to those that have its image already.
     */
    fun avoids(machine: String) = !isSuspect && failedOn.size <= FEW_MACHINES && machine in failedOn

    /** How long to wait before the next try. */
    fun pauseMs(
        heartbeatIntervalMs: Long,
        mostMs: Long,
    ): Long {
        if (failuresInRow <= FAILURES_TO_PAUSE) return 0L
        return minOf(mostMs, heartbeatIntervalMs shl minOf(failuresInRow - FAILURES_TO_PAUSE, MOST_DOUBLINGS))
    }

    private companion object {
        /** Two machines may be faulty at the same time; a third one without any success in between is unlikely. One on which
         * other jobs succeed counts twice. */
        const val EVIDENCE_TO_SUSPECT = 3
        const val EVIDENCE_OF_PROVEN = 2

        /** With more machines than this that failed the job it is no use avoiding them. */
        const val FEW_MACHINES = 6

        /** A bound for memory only; beyond [FEW_MACHINES] nothing depends on the names. */
        const val MOST_MACHINES = 64

        const val LONGER_THAN_FAILURES = 2
        const val FAILURES_TO_PAUSE = 3
        const val MOST_DOUBLINGS = 7
    }
}
