package micatally.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.settings.Settings
import micatally.wire.ResourceRequest
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/**
 * Provisions machines for tasks that find no free capacity. Each request is stored under a name that is never used again before
 * the cloud receives it, so that a new fleet manager can repeat it without provisioning anything twice.
 *
 * @param isLeader whether this process is the fleet manager
 */
class ScaleOut(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val cloud: CloudClient,
    private val requests: ProvisioningRequestStore,
    private val machines: MachineRegistry,
    private val instances: ProvisionedInstances,
    private val isLeader: () -> Boolean,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val backoff = OfferBackoff(settings, machines, nowMs)
    private var term = 0L
    private var requestCount = 0

    /** Names of requests that are being stored or sent to the cloud. */
    private val inProgress = HashSet<String>()

    /** Starts as the fleet manager: finishes the requests that its predecessor has stored. */
    fun beginTerm(newTerm: Long) {
        term = newTerm
        requestCount = 0
        requests.load { resume(it) }
    }

    /**
     * Finishes a request of the previous fleet manager under its name: repeating it provisions nothing twice. Machines of answered
     * requests are booting, and would be provisioned again if they were not counted.
     */
    private fun resume(request: ProvisioningRequest) {
        if (request.machines.isEmpty()) {
            launchFor(request) { provision(request) }
            return
        }
        addInstances(request.machines, request.offer, nowMs())
        requests.addAnswered(request)
    }

    /** Provisions machines for the resource requests, unless earlier provisioning requests are still in progress. */
    fun provisionFor(
        resourceRequests: List<ResourceRequest>,
        now: Long,
    ) {
        if (machines.machineTypes.isEmpty() || inProgress.isNotEmpty()) return
        for ((offer, count) in plan(resourceRequests, now)) {
            for (first in 0 until count step MAX_MACHINES_PER_REQUEST) {
                submit(nextRequest(offer, minOf(MAX_MACHINES_PER_REQUEST, count - first)))
            }
        }
    }

    private fun plan(
        resourceRequests: List<ResourceRequest>,
        now: Long,
    ): Map<Offer, Int> {
        val existing = HashMap<TypeInZone, Int>()
        for (instance in instances.all) existing.merge(instance.offer.typeInZone, 1, Int::plus)
        val pending =
            instances.pending(now).mapNotNullTo(ArrayList()) { instance ->
                machines.machineTypes[instance.offer.type]?.let { PlannedMachine(instance.offer, it.resources) }
            }
        val market = Market({ backoff.isActive(it, now) }, { instances.bootTimes.slowness(it) })
        return ScaleOutPlan(machines.machineTypes.values, market, pending, existing, MAX_MACHINES_PER_CYCLE)
            .plan(resourceRequests)
    }

    private fun nextRequest(
        offer: Offer,
        count: Int,
    ) = ProvisioningRequest("b$term-${++requestCount}", offer, count)

    /** The request is stored before the cloud receives it, so that its name is used for nothing else. */
    private fun submit(request: ProvisioningRequest) =
        launchFor(request) {
            if (requests.store(request) { term }) provision(request)
        }

    private fun launchFor(
        request: ProvisioningRequest,
        action: suspend () -> Unit,
    ) {
        inProgress.add(request.name)
        scope.launch {
            try {
                action()
            } finally {
                inProgress.remove(request.name)
            }
        }
    }

    /** Sends the request to the cloud until it has certainly been answered or refused. */
    private suspend fun provision(request: ProvisioningRequest) {
        val requestedAt = nowMs()
        var isOutcomeUnknown = false
        while (true) {
            when (val result = cloud.provision(request)) {
                is ProvisioningResult.Provisioned -> return provisioned(request, result.names, requestedAt)
                ProvisioningResult.NoCapacity -> {
                    logNoCapacity(request.offer)
                    backoff.noCapacity(request.offer)
                    break
                }
                ProvisioningResult.Refused ->
                    if (!isOutcomeUnknown) {
                        backoff.refused(request.offer)
                        break
                    }
                ProvisioningResult.Unknown -> isOutcomeUnknown = true
            }
            if (!isLeader()) return
            delay(settings.leaseMs / RETRIES_PER_LEASE)
        }
        requests.delete(request.name)
    }

    private suspend fun provisioned(
        request: ProvisioningRequest,
        names: List<String>,
        requestedAt: Long,
    ) {
        logProvisioned(request, names)
        addInstances(names, request.offer, requestedAt)
        if (names.size < request.count) backoff.noCapacity(request.offer) else backoff.succeeded(request.offer)
        if (names.isEmpty()) requests.delete(request.name) else requests.storeAnswer(request.withMachines(names))
    }

    private fun addInstances(
        names: List<String>,
        offer: Offer,
        atMs: Long,
    ) = instances.provisioned(names.filter { it !in machines.deletedNames }, offer, atMs)

    private fun logNoCapacity(offer: Offer) {
        log.info("cloud has no capacity for {} in {} spot={}", offer.type, offer.zone, offer.isSpot)
    }

    private fun logProvisioned(
        request: ProvisioningRequest,
        names: List<String>,
    ) {
        val offer = request.offer
        log.info(
            "provisioned {} of {} {} in {} spot={}: {}",
            names.size,
            request.count,
            offer.type,
            offer.zone,
            offer.isSpot,
            names,
        )
    }

    /**
     * Deletes stored requests whose machines are all up or deleted. Until then a new fleet manager learns from them, at once and
     * completely, which machines are booting; the cloud's list lags behind.
     */
    fun deleteSettledRequests() {
        val settled =
            requests.answered.filter { request ->
                request.machines.all { it in machines.deletedNames || instances.of(it)?.isUp == true }
            }
        for (request in settled) {
            requests.removeAnswered(request)
            scope.launch { requests.delete(request.name) }
        }
    }

    private companion object {
        const val MAX_MACHINES_PER_CYCLE = 100

        /** The cloud's limit for one request. */
        const val MAX_MACHINES_PER_REQUEST = 50

        /** How often in a lease a request whose outcome is unknown is repeated. */
        const val RETRIES_PER_LEASE = 10
    }
}

/** Offers that the cloud turned down lately, and until when they are not asked for again. */
private class OfferBackoff(
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val nowMs: () -> Long,
) {
    private val until = HashMap<Offer, Long>()
    private val failuresInRow = HashMap<Offer, Int>()

    fun isActive(
        offer: Offer,
        now: Long,
    ) = (until[offer] ?: 0L) > now

    /** Backs off for up to a boot time, longer each time in a row. */
    fun noCapacity(offer: Offer) {
        val failures = (failuresInRow[offer] ?: 0) + 1
        failuresInRow[offer] = failures
        until[offer] = nowMs() + minOf(failures, BACKOFF_STEPS) * machines.bootMs(offer.type) / BACKOFF_STEPS
    }

    /** An outage says nothing of the offer: it is tried again soon. */
    fun refused(offer: Offer) {
        until[offer] = nowMs() + settings.leaseMs / REFUSAL_RETRIES_PER_LEASE
    }

    fun succeeded(offer: Offer) {
        failuresInRow.remove(offer)
    }

    private companion object {
        /** After so many failures in a row the back-off is a whole boot time. */
        const val BACKOFF_STEPS = 6

        /** How often in a lease an offer is tried again after an outage. */
        const val REFUSAL_RETRIES_PER_LEASE = 5
    }
}
