package micatally.fleet

import micatally.wire.ResourceRequest
import org.slf4j.LoggerFactory

/**
 * What it takes to place tasks that must share a zone in one of the zones that they may share.
 *
 * @property request the resource request, narrowed to this zone
 * @property added the machines to add, besides those that are booting
 * @property price the price of the added machines, higher for offers that the cloud has refused
 * @property isComplete whether all the tasks are placed, or as many as one plan may add machines for
 * @property needsGivenUpOffer whether it needs an offer that the cloud has refused too often
 */
internal class ZoneTrial(
    val request: ResourceRequest,
    val added: List<Offer>,
    val price: Double,
    val isComplete: Boolean,
    val needsGivenUpOffer: Boolean,
) {
    val zone get() = request.zones.single()
}

/**
 * Chooses the zones for tasks that must share one, and remembers the choices while the tasks request machines.
 *
 * A zone is chosen if the machines that are booting there suffice, so that nothing is provisioned twice. Otherwise it is
 * the zone with the lowest price. Each refusal raises the price of an offer, until the offer is given up: it is then
 * requested only while all other zones need such offers too.
 */
class ZoneChoices {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val zoneByJob = HashMap<String, String>()

    /** Forgets all choices. */
    fun clear() = zoneByJob.clear()

    /** Forgets the choices for jobs of which no task requests machines any more. */
    fun retain(requests: List<ResourceRequest>) {
        if (zoneByJob.isNotEmpty()) zoneByJob.keys.retainAll(requests.mapTo(HashSet()) { it.jobId })
    }

    /** Chooses one of the zones that were tried for the job; null if its tasks can be placed in none of them. */
    internal fun choose(
        jobId: String,
        trials: List<ZoneTrial>,
    ): ZoneTrial? {
        val possible = trials.filter { it.isComplete }
        val former = zoneByJob[jobId]
        val chosen =
            possible.find { it.zone == former && it.added.isEmpty() }
                ?: possible.minWithOrNull(compareBy({ it.needsGivenUpOffer }, { it.price }, { it.request.count }))
                ?: return null
        if (chosen.zone != former) logChoice(jobId, former, chosen)
        zoneByJob[jobId] = chosen.zone
        return chosen
    }

    private fun logChoice(
        jobId: String,
        former: String?,
        chosen: ZoneTrial,
    ) {
        log.info(
            "job {} waits for free capacity for {} more tasks in zone {}, before in {}",
            jobId,
            chosen.request.count,
            chosen.zone,
            former ?: "none",
        )
    }
}
