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

    /** Whether two jobs have the same queue and the same user priority, so that only their arrival orders them. */
    fun haveSamePriority(
        left: Job,
        right: Job,
    ): Boolean = queues.queueOf(left) == queues.queueOf(right) && left.spec?.priority == right.spec?.priority

    /**
     * The submission time in ms, plus a penalty for each task that is not done. Among jobs that arrived at about the
     * same time, the one with fewer remaining tasks goes first: it completes much sooner, and this hardly delays the
     * longer one. Services have no penalty, as they never complete.
     */
    private fun effectiveArrivalMs(job: Job): Long {
        val isService = job.spec?.isService != false
        if (isService) return job.submittedAt
        val remainingTasks = (job.taskCount - job.doneCount).toLong()
        return job.submittedAt + remainingTasks * leaseMs / REMAINING_TASKS_PER_LEASE
    }

    private companion object {
        /** Sorts jobs without a specification after all user priorities. */
        const val PRIORITY_WITHOUT_SPEC = 9

        /** This many remaining tasks count like an arrival one lease duration later. */
        const val REMAINING_TASKS_PER_LEASE = 8
    }
}
