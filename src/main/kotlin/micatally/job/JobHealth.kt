package micatally.job

/**
 * What the exits of a job's tasks say about the job itself: one that was submitted with a mistake fails on every machine until
 * its user cancels it. Kept in memory only; the next leader of the shard learns it again from a few failures.
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

    /** Whether the job itself is likely at fault: it is tried with one task at a time then, and its failures accuse no machine. */
    val isSuspect get() = !hasSucceeded && evidence >= EVIDENCE_TO_SUSPECT

    /**
     * A task of the job failed on [machine] after [ranMs].
     *
     * @param isMachineProven whether tasks of other jobs succeed on the machine
     */
    fun failed(
        machine: String,
        ranMs: Long,
        isMachineProven: Boolean,
    ) {
        failures++
        failuresInRow++
        longestFailedRunMs = maxOf(longestFailedRunMs, ranMs)
        if (failedOn.size >= MAX_REMEMBERED_MACHINES || !failedOn.add(machine)) return
        evidence += if (isMachineProven) EVIDENCE_ON_PROVEN_MACHINE else 1
    }

    /** A task of the job has completed, or has run for long enough. */
    fun succeeded() {
        hasSucceeded = true
        failuresInRow = 0
    }

    /** Whether a task that has run for [ranMs], and for [minMs] at least, shows that the job can run. */
    fun isProvenBy(
        ranMs: Long,
        minMs: Long,
    ) = ranMs > maxOf(longestFailedRunMs * MIN_RATIO_TO_FAILED_RUN, minMs)

    /**
     * Whether the next task should rather be tried on another machine. Once the job itself is suspected, its failures say nothing
     * about machines, and it may go back to those that have its image already.
     */
    fun avoids(machine: String) = !isSuspect && failedOn.size <= MAX_AVOIDED_MACHINES && machine in failedOn

    /** How long to wait before the next try: nothing at first, then exponentially longer up to [maxMs]. */
    fun backoffMs(
        heartbeatIntervalMs: Long,
        maxMs: Long,
    ): Long {
        if (failuresInRow <= FAILURES_WITHOUT_BACKOFF) return 0L
        return minOf(maxMs, heartbeatIntervalMs shl minOf(failuresInRow - FAILURES_WITHOUT_BACKOFF, MAX_DOUBLINGS))
    }

    private companion object {
        /**
         * Two machines may be faulty at the same time; a third one without any success in between is unlikely. A machine on
         * which other jobs succeed counts twice.
         */
        const val EVIDENCE_TO_SUSPECT = 3
        const val EVIDENCE_ON_PROVEN_MACHINE = 2

        /** Once the job has failed on more machines than this, there is no use in avoiding them. */
        const val MAX_AVOIDED_MACHINES = 6

        /** Bounds the memory used; beyond [MAX_AVOIDED_MACHINES] nothing depends on the names. */
        const val MAX_REMEMBERED_MACHINES = 64

        const val MIN_RATIO_TO_FAILED_RUN = 2
        const val FAILURES_WITHOUT_BACKOFF = 3
        const val MAX_DOUBLINGS = 7
    }
}
