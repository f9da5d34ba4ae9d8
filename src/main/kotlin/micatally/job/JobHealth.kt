package micatally.job

/**
 * What the failures and successes of a job's tasks say about the job itself. A job that was submitted with a mistake
 * fails on every machine until its user cancels it. This is kept in memory only: the next leader of the shard learns it
 * again from a few failures.
 */
class JobHealth {
    private val failedOn = LinkedHashSet<String>()
    private var evidence = 0
    private var longestFailedRunMs = 0L

    /**
     * Whether a task of the job has completed, or has run for long enough to prove that the job can run ([isProvenBy]).
     */
    var hasSucceeded = false
        private set

    /** How many failures of tasks were counted here. */
    var failures = 0
        private set

    /** How many failures of tasks were counted since the last success. */
    var failuresInRow = 0
        private set

    /** The machines on which a task of the job failed, the first [MAX_REMEMBERED_MACHINES] of them. */
    val machines: Set<String> get() = failedOn

    /**
     * Whether the job itself is likely at fault. It is then tried with one task at a time, and its failures do not
     * count against machines.
     */
    val isSuspect get() = !hasSucceeded && evidence >= EVIDENCE_TO_SUSPECT

    /**
     * Counts a task of the job that failed on [machine] after it had run for [ranMs].
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

    /** Counts a success: a task of the job has completed, or has run for long enough. */
    fun succeeded() {
        hasSucceeded = true
        failuresInRow = 0
    }

    /**
     * Whether a task that has been running for [ranMs] proves that the job can run. It does if that is longer than
     * [minMs], and longer than [MIN_RATIO_TO_FAILED_RUN] times the longest run that failed.
     */
    fun isProvenBy(
        ranMs: Long,
        minMs: Long,
    ) = ranMs > maxOf(longestFailedRunMs * MIN_RATIO_TO_FAILED_RUN, minMs)

    /**
     * Whether tasks of the job are to be placed on other machines than this one, because one of them failed here. That
     * is not so once the job itself is suspected: its failures say nothing about machines then, and it may go back to
     * those that have its image already.
     */
    fun avoids(machine: String) = !isSuspect && failedOn.size <= MAX_AVOIDED_MACHINES && machine in failedOn

    /**
     * How long to wait before tasks of the job are placed again, in ms: not at all after the first
     * [FAILURES_WITHOUT_BACKOFF] failures in a row, then exponentially longer up to [maxMs].
     */
    fun backoffMs(
        heartbeatIntervalMs: Long,
        maxMs: Long,
    ): Long {
        if (failuresInRow <= FAILURES_WITHOUT_BACKOFF) return 0L
        return minOf(maxMs, heartbeatIntervalMs shl minOf(failuresInRow - FAILURES_WITHOUT_BACKOFF, MAX_DOUBLINGS))
    }

    private companion object {
        /**
         * A job is suspected after failures on this many machines. Two machines may be faulty at the same time. That a
         * third one is faulty too, without any success of the job, is unlikely.
         */
        const val EVIDENCE_TO_SUSPECT = 3

        /** A failure on a machine on which other jobs succeed counts as failures on this many machines. */
        const val EVIDENCE_ON_PROVEN_MACHINE = 2

        /** If the job has failed on more machines than this, avoiding them is of no use. */
        const val MAX_AVOIDED_MACHINES = 6

        /** Bounds the memory used. With more than [MAX_AVOIDED_MACHINES] machines nothing depends on their names. */
        const val MAX_REMEMBERED_MACHINES = 64

        const val MIN_RATIO_TO_FAILED_RUN = 2
        const val FAILURES_WITHOUT_BACKOFF = 3
        const val MAX_DOUBLINGS = 7
    }
}
