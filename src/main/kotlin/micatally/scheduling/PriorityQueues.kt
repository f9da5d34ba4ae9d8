package micatally.scheduling

import micatally.job.Job

/**
 * Multi-level feedback queues. A job's attained service decides in which queue it waits; queue 0 goes first. Each attempt
 * inherits the attained service that its job had, and adds its own run time; the job's is the highest sum so far.
 * Jobs that have waited long for little service are promoted (aging).
 *
 * @param upperBoundsS the attained service in seconds at which each queue ends, ascending; the last queue has no bound
 * @param promotionRatio a job is promoted by one queue if it has waited more than this many times its attained service
 */
class PriorityQueues(
    private val upperBoundsS: List<Double>,
    private val promotionRatio: Double,
) {
    /** The queue for this much attained service, without promotion. */
    fun queueOf(serviceS: Double): Int {
        val queue = upperBoundsS.indexOfFirst { serviceS < it }
        return if (queue < 0) upperBoundsS.size else queue
    }

    /** The queue in which the job waits now. Services are always in the first one: they are new or replace what was lost. */
    fun queueOf(job: Job): Int {
        if (job.spec?.isService != false || job.service <= 0.0) return 0
        val queue = queueOf(job.service)
        val isPromoted = queue > 0 && job.waitedMs / MS_PER_S / job.service > promotionRatio
        return if (isPromoted) queue - 1 else queue
    }

    /** Whether a task that began with [inheritedS] has, after running for [runS], outgrown the queue that it was placed from. */
    fun hasPassedBound(
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
