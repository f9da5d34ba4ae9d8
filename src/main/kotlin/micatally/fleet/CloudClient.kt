package micatally.fleet

import kotlinx.serialization.json.JsonObject
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.http.queryPart
import micatally.state.RateBudget
import micatally.state.Urgency
import micatally.wire.CloudRequests
import micatally.wire.ListedMachine
import micatally.wire.MachinePage
import micatally.wire.bytes
import micatally.wire.parseObject

/** What became of a request for machines. */
sealed interface ProvisioningResult {
    /** The cloud answered. There may be fewer machines than were asked for, or none. */
    class Provisioned(
        val names: List<String>,
    ) : ProvisioningResult

    /** Not carried out: the cloud has no free machine of this kind. */
    data object NoCapacity : ProvisioningResult

    /** Not carried out: an outage, a rate limit or a request that was turned down. */
    data object Refused : ProvisioningResult

    /** Perhaps carried out; the same request must be sent again, under the same name. */
    data object Unknown : ProvisioningResult
}

/**
 * Client of the cloud's HTTP interface. Each call suspends until the rate limit allows its request; none is retried here.
 *
 * @param budget this process's share of the cloud's rate limit
 * @param timeoutMs how long to wait for an answer
 */
class CloudClient(
    private val http: HttpCaller,
    private val addr: String,
    private val budget: RateBudget,
    private val timeoutMs: Long,
) {
    private suspend fun send(
        method: String,
        target: String,
        body: JsonObject?,
        urgency: Urgency,
    ): Outcome {
        budget.take(1, urgency)
        val outcome = http.call(addr, method, target, body?.bytes(), timeoutMs)
        if (outcome is Outcome.Answer && outcome.status == TOO_MANY_REQUESTS) budget.markExhausted()
        return outcome
    }

    /** The machine types as the cloud describes them, to be read by [micatally.wire.MachineType]; null when it can't be asked. */
    suspend fun machineTypes(): JsonObject? {
        val outcome = send("GET", CloudRequests.MACHINE_TYPES, null, Urgency.ACCEPTANCE)
        return if (outcome is Outcome.Answer && outcome.status == OK) parseObject(outcome.body) else null
    }

    /**
     * Asks for machines. Repeating a request provisions nothing twice: the cloud answers as it did before. Its name must never have
     * been used for another request.
     */
    suspend fun provision(request: ProvisioningRequest): ProvisioningResult {
        val offer = request.offer
        val body = CloudRequests.provision(request.name, offer.type, offer.zone, offer.isSpot, request.count)
        return when (val outcome = send("POST", CloudRequests.MACHINES, body, Urgency.ACCEPTANCE)) {
            is Outcome.NotSent -> ProvisioningResult.Refused
            is Outcome.NoResponse, is Outcome.TooLarge -> ProvisioningResult.Unknown
            is Outcome.Answer -> provisioningResult(outcome)
        }
    }

    private fun provisioningResult(answer: Outcome.Answer): ProvisioningResult =
        when (answer.status) {
            OK -> ProvisioningResult.Provisioned(CloudRequests.provisionedNames(answer.body))
            UNAVAILABLE ->
                if (CloudRequests.isNoCapacity(
                        answer.body,
                    )
                ) {
                    ProvisioningResult.NoCapacity
                } else {
                    ProvisioningResult.Refused
                }
            TOO_MANY_REQUESTS, BAD_REQUEST -> ProvisioningResult.Refused
            else -> ProvisioningResult.Unknown
        }

    /** Deletes machines. True when they and all that ran on them are gone; false when that is not known. */
    suspend fun delete(names: List<String>): Boolean {
        val outcome = send("POST", CloudRequests.DELETE_MACHINES, CloudRequests.delete(names), Urgency.LEASE)
        return outcome is Outcome.Answer && outcome.status == OK
    }

    /** All machines that the cloud lists, read in pages; null when a page could not be read. The list may lag behind. */
    suspend fun list(): List<ListedMachine>? {
        val machines = ArrayList<ListedMachine>()
        var lastName: String? = null
        while (true) {
            val outcome = send("GET", pageTarget(lastName), null, Urgency.INTENT)
            if (outcome !is Outcome.Answer || outcome.status != OK) return null
            val page = MachinePage.parse(outcome.body)
            machines.addAll(page.machines)
            if (!page.hasMore) return machines
            lastName = page.machines.last().name
        }
    }

    private fun pageTarget(afterName: String?): String {
        val from = if (afterName == null) "" else "since=${queryPart(afterName)}&"
        return "${CloudRequests.MACHINES}?${from}page=$PAGE_SIZE"
    }

    private companion object {
        const val PAGE_SIZE = 500
        const val OK = 200
        const val BAD_REQUEST = 400
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
    }
}
