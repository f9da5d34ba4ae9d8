package micatally.scheduling

import micatally.job.Job

/** The design's queues: a job's longest service path, in run seconds, decides where it waits. */
class PriorityQueues(
    private val boundsS: List<Double>,
    private val liftRatio: Double,
) {
    val count get() = boundsS.size + 1

    fun of(serviceS: Double): Int = boundsS.indexOfFirst { serviceS < it }.let { if (it < 0) boundsS.size else it }

    /** Services, being new or replacing what was lost, sit on top. Waiting long for little service lifts one queue. */
    fun current(job: Job): Int {
        if (job.spec?.isService != false || job.service <= 0.0) return 0
        val q = of(job.service)
        return if (q > 0 && job.waitedMs / 1000.0 / job.service > liftRatio) q - 1 else q
    }

    /** Past its queue's bound: the inherited service with the run time so far has outgrown the queue it was placed from. */
    fun pastBound(
        inheritedS: Double,
        ranS: Double,
    ): Boolean {
        val q = of(inheritedS)
        return q < boundsS.size && inheritedS + ranS >= boundsS[q]
    }
}
