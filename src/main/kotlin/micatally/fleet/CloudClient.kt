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

/** The outcome of a provisioning request. */
sealed interface ProvisioningResult {
    /** The cloud carried out the request. It may have provisioned fewer machines than were asked for, or none. */
    class Provisioned(
        val names: List<String>,
    ) : ProvisioningResult

    /** The request was not carried out: the cloud has no free machine of this type and zone. */
    data object NoCapacity : ProvisioningResult

    /** The request was not carried out because of an outage or a rate limit, or because the cloud rejected it. */
    data object Refused : ProvisioningResult

    /** The request may have been carried out. It has to be repeated under the same name to find out. */
    data object Unknown : ProvisioningResult
}

/**
 * Client of the cloud's HTTP API. Each call suspends until the rate limit allows its request. No call retries a failed
 * request.
 *
 * @param budget this process's share of the cloud's rate limit
 * @param timeoutMs how long to wait for a response, in milliseconds
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
        return sendNow(method, target, body)
    }

    /** Sends a request for which the rate limit has been waited for. */
    private suspend fun sendNow(
        method: String,
        target: String,
        body: JsonObject?,
    ): Outcome {
        val outcome = http.call(addr, method, target, body?.bytes(), timeoutMs)
        if (outcome is Outcome.Answer && outcome.status == TOO_MANY_REQUESTS) budget.markExhausted()
        return outcome
    }

    /**
     * The machine types as the cloud describes them, in the form that [micatally.wire.MachineType] parses; null if the
     * cloud does not respond with status 200.
     */
    suspend fun machineTypes(): JsonObject? {
        val outcome = send("GET", CloudRequests.MACHINE_TYPES, null, Urgency.ACCEPTANCE)
        return if (outcome is Outcome.Answer && outcome.status == OK) parseObject(outcome.body) else null
    }

    /**
     * Requests machines. Requests are idempotent by name: if one is repeated, the cloud responds as it did before and
     * provisions nothing. A name must therefore never be used for a different request.
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
            UNAVAILABLE -> unavailable(answer)
            TOO_MANY_REQUESTS, BAD_REQUEST -> ProvisioningResult.Refused
            else -> ProvisioningResult.Unknown
        }

    /** An offer without capacity and an outage have the same status. */
    private fun unavailable(answer: Outcome.Answer): ProvisioningResult {
        val isNoCapacity = CloudRequests.isNoCapacity(answer.body)
        return if (isNoCapacity) ProvisioningResult.NoCapacity else ProvisioningResult.Refused
    }

    /**
     * Deletes the machines that [selectNames] returns. It is called once the rate limit allows the request, right
     * before that is sent.
     *
     * @return the names of the machines of which the cloud has confirmed that they and all tasks on them are gone;
     * empty if that is not known, or if none was selected
     */
    suspend fun delete(selectNames: () -> List<String>): List<String> {
        budget.take(1, Urgency.LEASE)
        val names = selectNames()
        if (names.isEmpty()) return emptyList()
        val outcome = sendNow("POST", CloudRequests.DELETE_MACHINES, CloudRequests.delete(names))
        return if (outcome is Outcome.Answer && outcome.status == OK) names else emptyList()
    }

    /**
     * All machines in the cloud's list, read page by page; null if a page can't be read. The list may lag behind the
     * present state.
     */
    suspend fun list(): List<ListedMachine>? {
        val machines = ArrayList<ListedMachine>()
        var lastName: String? = null
        while (true) {
            val outcome = send("GET", listPageTarget(lastName), null, Urgency.INTENT)
            if (outcome !is Outcome.Answer || outcome.status != OK) return null
            val page = MachinePage.parse(outcome.body)
            machines.addAll(page.machines)
            if (!page.hasMore) return machines
            lastName = page.machines.last().name
        }
    }

    private fun listPageTarget(afterName: String?): String {
        val sinceParameter = if (afterName == null) "" else "since=${queryPart(afterName)}&"
        return "${CloudRequests.MACHINES}?${sinceParameter}page=$PAGE_SIZE"
    }

    private companion object {
        const val PAGE_SIZE = 500
        const val OK = 200
        const val BAD_REQUEST = 400
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
    }
}
