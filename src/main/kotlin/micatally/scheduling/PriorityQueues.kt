package micatally.scheduling

import micatally.job.Job

/**
 * Multi-level feedback queues. A job's attained service, in seconds of run time, decides in which queue the job waits.
 * Queue 0 goes first. Each attempt inherits the attained service that its job had when the attempt began, and adds its
 * own run time. The attained service of the job is the highest such sum so far. A job that has waited long in
 * proportion to its attained service is promoted by one queue (aging).
 *
 * @param upperBoundsS the attained service in seconds at which each queue ends, ascending; the last queue has no bound
 * @param promotionRatio a job is promoted by one queue if it has waited more than this many times its attained service
 */
class PriorityQueues(
    private val upperBoundsS: List<Double>,
    private val promotionRatio: Double,
) {
    /** The queue for [serviceS] seconds of attained service, without promotion. */
    fun queueOf(serviceS: Double): Int {
        val queue = upperBoundsS.indexOfFirst { serviceS < it }
        return if (queue < 0) upperBoundsS.size else queue
    }

    /**
     * The queue in which the job waits now, promotion included. A service is always in queue 0, since its pending tasks
     * are new or replace lost replicas.
     */
    fun queueOf(job: Job): Int {
        if (job.spec?.isService != false || job.attainedServiceS <= 0.0) return 0
        val queue = queueOf(job.attainedServiceS)
        val isPromoted = queue > 0 && job.waitedMs / MS_PER_S / job.attainedServiceS > promotionRatio
        return if (isPromoted) queue - 1 else queue
    }

    /**
     * Whether a task has reached the upper bound of the queue that [inheritedS] seconds of attained service belong to,
     * after running for [runS] seconds. False for the last queue, which has no bound.
     */
    fun hasPassedUpperBound(
        inheritedS: Double,
        runS: Double,
    ): Boolean {
        val queue = queueOf(inheritedS)
        return queue < upperBoundsS.size && inheritedS + runS >= upperBoundsS[queue]
    }

    private companion object {
        const val MS_PER_S = 1000.0
    }
}
