package micatally.fleet

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.settings.Settings
import micatally.wire.ResourceRequest
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/**
 * Provisions machines for tasks that find no free capacity. Each request gets a name that is never reused, and is
 * stored before it is sent to the cloud. A new fleet manager can therefore repeat it without provisioning anything
 * twice.
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
    private val unmetRequests = UnmetRequests()
    private val zoneChoices = ZoneChoices()
    private var term = 0L

    /** The number of requests created in this term; it is part of their names. */
    private var requestsCreated = 0

    /** Names of the requests that are being stored, sent to the cloud, or updated with its response. */
    private val inProgress = HashSet<String>()

    /** Begins a term as the fleet manager: completes the requests that the previous fleet manager has stored. */
    fun beginTerm(newTerm: Long) {
        term = newTerm
        requestsCreated = 0
        zoneChoices.clear()
        requests.load { resume(it) }
    }

    /**
     * Completes a request of the previous fleet manager. If the cloud has not responded to it as far as is known, it is
     * sent again under its name, which provisions nothing twice. Otherwise its machines are booting; they are added
     * here, so that they are not provisioned again.
     */
    private fun resume(request: ProvisioningRequest) {
        if (request.machines.isEmpty()) {
            launchFor(request) { provision(request) }
            return
        }
        addInstances(request.machines, request.offer, nowMs())
        requests.addAnswered(request)
    }

    /**
     * Provisions machines for the resource requests; does nothing while earlier provisioning requests are in progress.
     */
    fun provisionFor(
        resourceRequests: List<ResourceRequest>,
        now: Long,
    ) {
        if (machines.machineTypes.isEmpty() || inProgress.isNotEmpty()) return
        zoneChoices.retain(resourceRequests)
        for ((offer, count) in plan(resourceRequests, now)) {
            for (offset in 0 until count step MAX_MACHINES_PER_REQUEST) {
                submit(nextRequest(offer, minOf(MAX_MACHINES_PER_REQUEST, count - offset)))
            }
        }
    }

    /**
     * Those of the requests whose tasks must share a zone and are getting the machines that they lack, narrowed to the
     * chosen zone.
     */
    fun supplied(resourceRequests: List<ResourceRequest>): List<ResourceRequest> =
        zoneChoices.supplied(resourceRequests)

    /** The number of machines to provision by offer, given the machines that exist and those that are on their way. */
    private fun plan(
        resourceRequests: List<ResourceRequest>,
        now: Long,
    ): Map<Offer, Int> {
        val existing = HashMap<TypeInZone, Int>()
        for (instance in instances.all) existing.merge(instance.offer.typeInZone, 1, Int::plus)
        val pending = ArrayList(settling(now) + booting(now))
        val plan =
            ScaleOutPlan(
                machines.machineTypes.values,
                offerConditions(now),
                pending,
                existing,
                MAX_MACHINES_PER_CYCLE,
                zoneChoices,
            )
        return plan.plan(resourceRequests).also { unmetRequests.update(plan.unmet, resourceRequests) }
    }

    /** The machines that are booting and not late. */
    private fun booting(now: Long): List<PlannedMachine> =
        instances.pending(now).mapNotNull { instance ->
            machines.machineTypes[instance.offer.type]?.let { PlannedMachine(instance.offer, it.resources) }
        }

    /**
     * The machines that have come up so recently that the present resource requests may not take them into account: the
     * controllers have to hear of a machine, use it and tell what they still lack.
     */
    private fun settling(now: Long): List<PlannedMachine> =
        machines.byName.values
            .filter { it.incarnation != 0L && !it.deleted && !it.draining }
            .filter { now - it.firstHeardAt < settings.heartbeatIntervalMs }
            .mapNotNull { machine ->
                val total = machines.total(machine) ?: return@mapNotNull null
                PlannedMachine(Offer(machine.type, machine.zone, machine.isSpot), total - machine.used)
            }

    private fun offerConditions(now: Long) =
        OfferConditions(
            isBackingOff = { backoff.isBackingOff(it, now) },
            refusalsInRow = { backoff.refusalsInRow(it, now) },
            areOverdue = { instances.bootTimes.areOverdue(it) },
            slowness = { instances.bootTimes.slowness(it) },
        )

    private fun nextRequest(
        offer: Offer,
        count: Int,
    ) = ProvisioningRequest("b$term-${++requestsCreated}", offer, count)

    /**
     * Stores the request and sends it to the cloud. It is stored first so that its name is never used for another
     * request.
     */
    private fun submit(request: ProvisioningRequest) =
        launchFor(request) {
            if (requests.store(request) { term }) provision(request)
        }

    /** Runs [action] in the background; the request counts as in progress until it ends. */
    private fun launchFor(
        request: ProvisioningRequest,
        action: suspend () -> Unit,
    ) {
        inProgress.add(request.name)
        scope.launch(CoroutineName("provisioning")) {
            try {
                action()
            } finally {
                inProgress.remove(request.name)
            }
        }
    }

    /**
     * Sends the request to the cloud, and repeats it while its outcome is unknown. Gives up when this process is no
     * longer the fleet manager: the next one finds the request in the state store. Deletes the stored request if the
     * cloud has not carried it out.
     */
    private suspend fun provision(request: ProvisioningRequest) {
        val requestedAtMs = nowMs()
        var isOutcomeUnknown = false
        while (true) {
            when (val result = cloud.provision(request)) {
                is ProvisioningResult.Provisioned -> return recordProvisioned(request, result.names, requestedAtMs)
                ProvisioningResult.NoCapacity -> {
                    logNoCapacity(request.offer)
                    backoff.startBackoff(request.offer)
                    break
                }
                ProvisioningResult.Refused ->
                    if (!isOutcomeUnknown) {
                        backoff.startShortBackoff(request.offer)
                        break
                    }
                ProvisioningResult.Unknown -> isOutcomeUnknown = true
            }
            if (!isLeader()) return
            delay(settings.leaseMs / RETRIES_PER_LEASE)
        }
        requests.delete(request.name)
    }

    /** Records the machines that the cloud has provisioned for the request. */
    private suspend fun recordProvisioned(
        request: ProvisioningRequest,
        names: List<String>,
        requestedAtMs: Long,
    ) {
        logProvisioned(request, names)
        addInstances(names, request.offer, requestedAtMs)
        if (names.size < request.count) backoff.startBackoff(request.offer) else backoff.reset(request.offer)
        if (names.isEmpty()) requests.delete(request.name) else requests.storeAnswer(request.withMachines(names))
    }

    private fun addInstances(
        names: List<String>,
        offer: Offer,
        atMs: Long,
    ) = instances.addProvisioned(names.filter { it !in machines.deletedNames }, offer, atMs)

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
     * Deletes stored requests whose machines are all up or deleted. A new fleet manager needs them until then: they
     * name all machines that are booting, while the cloud's list lags behind.
     */
    fun deleteSettledRequests() {
        val settledRequests =
            requests.answered.filter { request ->
                request.machines.all { it in machines.deletedNames || instances.of(it)?.isUp == true }
            }
        for (request in settledRequests) {
            requests.removeAnswered(request)
            scope.launch(CoroutineName("provisioning request removal")) { requests.delete(request.name) }
        }
    }

    private companion object {
        /** The largest number of machines that one scaling decision provisions. */
        const val MAX_MACHINES_PER_CYCLE = 100

        /** The largest number of machines in one request; the cloud's limit. */
        const val MAX_MACHINES_PER_REQUEST = 50

        /** How many times per lease a request whose outcome is unknown is repeated. */
        const val RETRIES_PER_LEASE = 10
    }
}
