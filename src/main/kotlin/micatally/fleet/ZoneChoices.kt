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
 * @property isBackingOff whether one of the added machines can't be requested at present
 * @property needsGivenUpOffer whether it needs an offer that the cloud has refused too often or whose machines don't come up
 */
internal class ZoneTrial(
    val request: ResourceRequest,
    val added: List<Offer>,
    val price: Double,
    val isComplete: Boolean,
    val isBackingOff: Boolean,
    val needsGivenUpOffer: Boolean,
) {
    val zone get() = request.zones.single()
}

/**
 * Chooses the zones for tasks that must share one, and remembers the choices while the tasks request machines.
 *
 * A zone is chosen if the machines that are booting there suffice, so that nothing is provisioned twice. Otherwise it is
 * the zone with the lowest price. Each refusal raises the price of an offer. After some, or if its machines don't come
 * up, the offer is given up: it is then requested only while all other zones need such offers too.
 */
class ZoneChoices {
    /** A chosen zone, and whether all machines that the tasks lack there are on their way or requested. */
    private class Choice(
        val zone: String,
        val isSupplied: Boolean,
    )

    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val choiceByJob = HashMap<String, Choice>()

    /** Forgets all choices. */
    fun clear() = choiceByJob.clear()

    /** Forgets the choices for jobs of which no task requests machines any more. */
    fun retain(requests: List<ResourceRequest>) {
        if (choiceByJob.isNotEmpty()) choiceByJob.keys.retainAll(requests.mapTo(HashSet()) { it.jobId })
    }

    /** Chooses one of the zones that were tried for the job; null if its tasks can be placed in none of them. */
    internal fun choose(
        jobId: String,
        trials: List<ZoneTrial>,
    ): ZoneTrial? {
        val possible = trials.filter { it.isComplete }
        val former = choiceByJob[jobId]?.zone
        val chosen =
            possible.find { it.zone == former && it.added.isEmpty() }
                ?: possible.minWithOrNull(compareBy({ it.needsGivenUpOffer }, { it.price }, { it.request.count }))
        if (chosen == null) {
            choiceByJob.remove(jobId)
            return null
        }
        if (chosen.zone != former) logChoice(jobId, former, chosen)
        choiceByJob[jobId] = Choice(chosen.zone, !chosen.isBackingOff)
        return chosen
    }

    /** Those of the requests whose tasks are getting all that they lack in the chosen zone, narrowed to this zone. */
    fun supplied(requests: List<ResourceRequest>): List<ResourceRequest> =
        requests.mapNotNull { request ->
            val choice = choiceByJob[request.jobId]
            if (choice != null && choice.isSupplied) request.copy(zones = listOf(choice.zone)) else null
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
