package micatally.job

import micatally.wire.JobSpec
import micatally.wire.ResourceRequest
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** Creates the jobs that users submit to this controller. */
class JobSubmissions(
    machines: MachineRegistry,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("micatally.job")
    private val arrivals = ServiceArrivals(clock.nowMs) { machines.bootMs(null) }

    /**
     * Creates a job of [shard] in memory only. The caller requests its write, and answers the user when
     * [JobStore.awaitDurable] has returned.
     */
    fun create(
        spec: JobSpec,
        shard: JobShard,
    ): Job {
        val job = Job(spec.jobId, spec, shard, spec.taskCount, clock.wallMs(), JobState.NEW)
        shard.jobs[spec.jobId] = job
        if (spec.isService) arrivals.add(spec)
        log.info(
            "job {} of {} class {}: {} tasks of {} cores {} GPUs",
            spec.jobId,
            spec.team,
            spec.jobClass,
            spec.taskCount,
            spec.resources.cores,
            spec.resources.gpus,
        )
        return job
    }

    /** The requests of the services that were submitted here lately, see [ServiceArrivals.recent]. */
    fun recentServices(): List<ResourceRequest> = arrivals.recent()
}
