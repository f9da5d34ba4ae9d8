package micatally.job

import micatally.wire.JobSpec
import micatally.wire.ResourceRequest

/**
 * The services that were submitted to this controller lately. They are an estimate of the services that will be
 * submitted while a machine boots.
 *
 * @property bootMs how long a machine of the slowest type takes to boot, in ms
 */
class ServiceArrivals(
    private val nowMs: () -> Long,
    private val bootMs: () -> Long,
) {
    private class Arrival(
        val atMs: Long,
        val spec: JobSpec,
    )

    private val arrivals = ArrayDeque<Arrival>()

    /** Adds a service that is submitted now. */
    fun add(spec: JobSpec) {
        arrivals.addLast(Arrival(nowMs(), spec))
    }

    /**
     * The resources that the services of the last [PERIOD_BOOT_THIRDS] thirds of a boot time need: one request for each
     * combination of resources and machine types.
     */
    fun recent(): List<ResourceRequest> {
        val sinceMs = nowMs() - bootMs() * PERIOD_BOOT_THIRDS / THIRDS
        while (arrivals.isNotEmpty() && arrivals.first().atMs < sinceMs) arrivals.removeFirst()
        return arrivals.groupBy { it.spec.resources to it.spec.types }.values.map { requestOf(it) }
    }

    private fun requestOf(sameShape: List<Arrival>): ResourceRequest {
        val spec = sameShape.first().spec
        return ResourceRequest(
            spec.resources.cores,
            spec.resources.gpus,
            spec.resources.memoryGb,
            spec.types?.toList() ?: emptyList(),
            count = sameShape.sumOf { it.spec.taskCount },
            isService = true,
        )
    }

    private companion object {
        /** Services are counted for this many thirds of a boot time, which is somewhat longer than a boot. */
        const val PERIOD_BOOT_THIRDS = 4
        const val THIRDS = 3
    }
}
