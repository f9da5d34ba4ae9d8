package micatally.scheduling

import micatally.job.Job
import micatally.wire.ResourceRequest

/**
 * The resource requests of jobs whose tasks found no machine. A pass over all jobs may take several scheduling cycles.
 * Until a pass is complete, its requests are collected separately, and [latest] holds those of the previous pass.
 */
class PendingRequests {
    private var collected = LinkedHashMap<String, ResourceRequest>()

    /** The requests of the last complete pass, by job id. */
    var latest: Map<String, ResourceRequest> = emptyMap()
        private set

    /** Discards what has been collected since the last complete pass. */
    fun beginPass() = collected.clear()

    /** Publishes what has been collected as [latest]. */
    fun endPass() {
        latest = collected
        collected = LinkedHashMap()
    }

    /** Adds a request of the current pass. It replaces an earlier one of the same job. */
    fun add(
        job: Job,
        request: ResourceRequest,
    ) {
        collected[job.jobId] = request
    }
}
