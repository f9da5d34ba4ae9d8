package micatally.fleet

import micatally.wire.ResourceRequest
import org.slf4j.LoggerFactory

/**
 * Logs the resource requests for which no offer is available at present. Each kind of request is logged once, until no
 * task requests it any more.
 */
internal class UnmetRequests {
    /** What distinguishes requests in the log. */
    private data class Kind(
        val cores: Double,
        val gpus: Double,
        val memoryGb: Double,
        val types: List<String>,
        val zones: List<String>,
    ) {
        constructor(request: ResourceRequest) :
            this(request.cores, request.gpus, request.memoryGb, request.types, zonesOf(request))

        override fun toString() =
            "$cores cores, $gpus GPUs and $memoryGb GB each, types ${types.ifEmpty { "any" }}, zones $zones"

        private companion object {
            fun zonesOf(request: ResourceRequest): List<String> =
                if (request.zoneOptions.isEmpty()) request.zones else request.zoneOptions.map { it.zone }
        }
    }

    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val logged = HashSet<Kind>()

    /**
     * Logs the kinds of [unmet] requests that were not logged yet.
     *
     * @param all all present requests
     */
    fun update(
        unmet: List<ResourceRequest>,
        all: List<ResourceRequest>,
    ) {
        for (request in unmet) {
            val kind = Kind(request)
            if (logged.add(kind)) log.info("no offer is available for tasks of {}", kind)
        }
        if (logged.isNotEmpty()) logged.retainAll(all.mapTo(HashSet()) { Kind(it) })
    }
}
