package micatally.scheduling

import micatally.job.Job

/** The design's queues: a job's longest service path, in run seconds, decides where it waits. */
class PriorityQueues(
    private val upperBoundsS: List<Double>,
    private val promotionRatio: Double,
) {
    val count get() = upperBoundsS.size + 1

    fun queueOf(serviceS: Double): Int =
        upperBoundsS.indexOfFirst { serviceS < it }.let {
            if (it <
                0
            ) {
                upperBoundsS.size
            } else {
                it
            }
        }

    /** Services, being new or replacing what was lost, sit on top. Waiting long for little service lifts one queue. */
    fun queueOf(job: Job): Int {
        if (job.spec?.isService != false || job.service <= 0.0) return 0
        val queue = queueOf(job.service)
        return if (queue > 0 && job.waitedMs / 1000.0 / job.service > promotionRatio) queue - 1 else queue
    }

    /** Past its queue's bound: the inherited service with the run time so far has outgrown the queue it was placed from. */
    fun hasPassedBound(
        inheritedS: Double,
        runS: Double,
    ): Boolean {
        val queue = queueOf(inheritedS)
        return queue < upperBoundsS.size && inheritedS + runS >= upperBoundsS[queue]
    }
}
