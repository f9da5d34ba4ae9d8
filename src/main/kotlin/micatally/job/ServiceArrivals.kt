package micatally.job

import micatally.wire.JobSpec
import micatally.wire.ResourceRequest

/** The services that were submitted to this node lately, as a measure of those that will come while a machine boots. */
class ServiceArrivals(
    private val nowMs: () -> Long,
    private val bootMs: () -> Long,
) {
    private class Arrival(
        val atMs: Long,
        val spec: JobSpec,
    )

    private val arrivals = ArrayDeque<Arrival>()

    fun add(spec: JobSpec) {
        arrivals.addLast(Arrival(nowMs(), spec))
    }

    /** What came in the last while, as one demand for each shape. */
    fun recent(): List<ResourceRequest> {
        val sinceMs = nowMs() - bootMs() * THIRDS_OF_A_BOOT / 3
        while (arrivals.isNotEmpty() && arrivals.first().atMs < sinceMs) arrivals.removeFirst()
        return arrivals.groupBy { it.spec.resources to it.spec.types }.values.map { demand(it) }
    }

    private fun demand(alike: List<Arrival>): ResourceRequest {
        val spec = alike.first().spec
        return ResourceRequest(
            spec.resources.cores,
            spec.resources.gpus,
            spec.resources.memoryGb,
            spec.types?.toList() ?: emptyList(),
            count = alike.sumOf { it.spec.taskCount },
            isService = true,
        )
    }

    private companion object {
        /** Services of so many thirds of a boot may come while a machine boots. */
        const val THIRDS_OF_A_BOOT = 4
    }
}
