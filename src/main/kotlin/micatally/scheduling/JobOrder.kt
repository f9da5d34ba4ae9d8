package micatally.scheduling

import micatally.job.Job

/** The order in which a scheduling cycle visits the jobs with pending tasks. */
class JobOrder(
    private val queues: PriorityQueues,
    private val leaseMs: Long,
) {
    /** Sorts by queue, then by the user's priority, then by arrival; the job id makes the order unambiguous. */
    fun sorted(jobs: List<Job>): List<Job> =
        jobs.sortedWith(
            compareBy<Job>(
                { queues.queueOf(it) },
                { it.spec?.priority?.ordinal ?: PRIORITY_WITHOUT_SPEC },
                { effectiveArrivalMs(it) },
                { it.jobId },
            ),
        )

    /** Whether two jobs differ by their arrival only, so that none of them has a claim to go first. */
    fun haveSamePriority(
        left: Job,
        right: Job,
    ): Boolean = queues.queueOf(left) == queues.queueOf(right) && left.spec?.priority == right.spec?.priority

    /**
     * The submission time, plus a penalty for the tasks that are left. Among jobs that arrived at about the same time the
     * shorter one goes first: it completes sooner, and the longer one hardly later. Services have no end and no penalty.
     */
    private fun effectiveArrivalMs(job: Job): Long {
        val isService = job.spec?.isService != false
        if (isService) return job.submittedAt
        val remainingTasks = (job.taskCount - job.doneCount).toLong()
        return job.submittedAt + remainingTasks * leaseMs / REMAINING_TASKS_PER_LEASE
    }

    private companion object {
        /** Jobs whose specification is not known sort behind all priorities. */
        const val PRIORITY_WITHOUT_SPEC = 9

        /** This many remaining tasks put a job behind one that arrived a lease time later. */
        const val REMAINING_TASKS_PER_LEASE = 8
    }
}
