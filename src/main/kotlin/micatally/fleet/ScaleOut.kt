package micatally.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.membership.Keys
import micatally.membership.SharedKeyCache
import micatally.settings.Settings
import micatally.state.Compare
import micatally.state.Delete
import micatally.state.Put
import micatally.state.StateStoreClient
import micatally.state.Transaction
import micatally.state.TransactionResult
import micatally.state.Urgency
import micatally.wire.ResourceRequest
import micatally.worker.MachineRegistry
import org.slf4j.LoggerFactory

/** Rents machines for demand that finds no room, under names that are stored first and never used twice. */
class ScaleOut(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val cloud: CloudClient,
    private val sharedKeys: SharedKeyCache,
    private val machines: MachineRegistry,
    private val instances: ProvisionedInstances,
    private val isLeader: () -> Boolean,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private var term = 0L
    private var requestCount = 0

    /** Names of bookings that are being stored or asked for. */
    private val inProgress = HashSet<String>()
    private val backoffUntil = HashMap<Offer, Long>()
    private val failuresInRow = HashMap<Offer, Int>()

    /** Bookings that the cloud has answered and whose machines are not all up yet. */
    private val answeredRequests = HashMap<String, ProvisioningRequest>()

    fun beginTerm(newTerm: Long) {
        term = newTerm
        requestCount = 0
        answeredRequests.clear()
        for (item in sharedKeys.under(Keys.PROVISIONING)) {
            resume(ProvisioningRequest.parse(item.key.removePrefix(Keys.PROVISIONING), item.value))
        }
    }

    /**
     * What the former fleet manager had decided is finished under its names: repeating a booking rents nothing twice. Machines of
     * answered ones are on their way, and would be rented again if they were not counted.
     */
    private fun resume(request: ProvisioningRequest) {
        if (request.machines.isEmpty()) {
            launchFor(request) { provision(request) }
            return
        }
        instances.provisioned(request.machines.filter { it !in machines.deletedNames }, request.offer, nowMs())
        answeredRequests[request.name] = request
    }

    fun scaleOut(
        resourceRequests: List<ResourceRequest>,
        now: Long,
    ) {
        if (machines.machineTypes.isEmpty() || inProgress.isNotEmpty()) return
        val machinesPerTypeAndZone = HashMap<String, Int>()
        for (instance in instances.all) {
            machinesPerTypeAndZone.merge(
                "${instance.offer.type}/${instance.offer.zone}",
                1,
                Int::plus,
            )
        }
        val pending =
            instances.pending(now).mapNotNullTo(ArrayList()) { instance ->
                machines.machineTypes[instance.offer.type]?.let { type ->
                    ScaleOutPlan.PlannedMachine(
                        instance.offer.type,
                        instance.offer.zone,
                        instance.offer.spot,
                        type.resources,
                    )
                }
            }
        val market = Market({ (backoffUntil[it] ?: 0L) > now }, { instances.bootTimes.slowness(it) })
        val plan =
            ScaleOutPlan.plan(
                resourceRequests,
                pending,
                machines.machineTypes.values,
                market,
                machinesPerTypeAndZone,
                MAX_MACHINES_PER_CYCLE,
            )
        for ((offer, count) in plan) {
            for (first in 0 until count step MAX_MACHINES_PER_REQUEST) {
                submit(
                    ProvisioningRequest(
                        "b$term-${++requestCount}",
                        offer,
                        minOf(
                            MAX_MACHINES_PER_REQUEST,
                            count - first,
                        ),
                    ),
                )
            }
        }
    }

    /** A booking is stored before the cloud hears of it, so that its name is used for nothing else. */
    private fun submit(request: ProvisioningRequest) =
        launchFor(request) {
            val stored =
                state.transact(1, Urgency.INTENT) {
                    Transaction(
                        listOf(Compare(Keys.FLEET, term)),
                        listOf(Put(Keys.PROVISIONING + request.name, request.toJson())),
                    )
                }
            if (stored is TransactionResult.Applied) provision(request)
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

    /** Asks the cloud until it has certainly answered or refused. */
    private suspend fun provision(request: ProvisioningRequest) {
        val offer = request.offer
        val requestedAt = nowMs()
        var isOutcomeUnknown = false
        while (true) {
            when (val result = cloud.provision(request)) {
                is ProvisioningResult.Provisioned -> {
                    provisioned(request, result.names, requestedAt)
                    return
                }
                ProvisioningResult.NoCapacity -> {
                    log.info("cloud has no capacity for {} in {} spot={}", offer.type, offer.zone, offer.spot)
                    backOff(offer)
                    break
                }
                ProvisioningResult.Refused ->
                    if (!isOutcomeUnknown) {
                        backoffUntil[offer] = nowMs() + settings.leaseMs / REFUSAL_BACKOFFS_PER_LEASE
                        break
                    }
                ProvisioningResult.Unknown -> isOutcomeUnknown = true
            }
            if (!isLeader()) return
            delay(settings.leaseMs / RETRIES_PER_LEASE)
        }
        deleteRecord(request.name)
    }

    private suspend fun provisioned(
        request: ProvisioningRequest,
        names: List<String>,
        requestedAt: Long,
    ) {
        val offer = request.offer
        log.info(
            "provisioned {} of {} {} in {} spot={}: {}",
            names.size,
            request.count,
            offer.type,
            offer.zone,
            offer.spot,
            names,
        )
        instances.provisioned(names.filter { it !in machines.deletedNames }, offer, requestedAt)
        if (names.size < request.count) backOff(offer) else failuresInRow.remove(offer)
        if (names.isEmpty()) deleteRecord(request.name) else storeAnswer(request.withMachines(names))
    }

    /** On condition that the note is there: it may have been dropped meanwhile, by the next fleet manager. */
    private suspend fun storeAnswer(request: ProvisioningRequest) {
        answeredRequests[request.name] = request
        val key = Keys.PROVISIONING + request.name
        state.transact(1, Urgency.SUMMARY) {
            val isStillStored = sharedKeys.has(key) && request.name in answeredRequests
            if (isStillStored) {
                Transaction(
                    listOf(Compare(key, sharedKeys.modRevision(key))),
                    listOf(Put(key, request.toJson())),
                )
            } else {
                null
            }
        }
    }

    private suspend fun deleteRecord(name: String) {
        state.transact(1, Urgency.SUMMARY) { Transaction(emptyList(), listOf(Delete(Keys.PROVISIONING + name))) }
    }

    /**
     * The note of a booking may go when all its machines are up, or gone: until then another fleet manager learns from it, at once
     * and with nothing missing, what is on its way. The cloud's list comes late.
     */
    fun deleteSettledRequests() {
        if (answeredRequests.isEmpty()) return
        val settled =
            answeredRequests.values.filter { request ->
                request.machines.all { it in machines.deletedNames || instances.of(it)?.isUp == true }
            }
        for (request in settled) {
            answeredRequests.remove(request.name)
            scope.launch { deleteRecord(request.name) }
        }
    }

    private fun backOff(offer: Offer) {
        val failures = failuresInRow.merge(offer, 1, Int::plus)!!
        backoffUntil[offer] = nowMs() + minOf(failures, BACKOFF_STEPS) * machines.bootMs(offer.type) / BACKOFF_STEPS
    }

    private companion object {
        const val MAX_MACHINES_PER_CYCLE = 100

        /** The protocol's limit for one request. */
        const val MAX_MACHINES_PER_REQUEST = 50

        /** An offer without capacity is left alone for up to a boot, longer each time. */
        const val BACKOFF_STEPS = 6

        /** Parts of a lease until an offer is tried again after an outage, and until an unclear request is repeated. */
        const val REFUSAL_BACKOFFS_PER_LEASE = 5
        const val RETRIES_PER_LEASE = 10
    }
}
