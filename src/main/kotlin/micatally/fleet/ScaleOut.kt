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
    private val underWay = HashSet<String>()
    private val refusedUntil = HashMap<Offer, Long>()
    private val refusals = HashMap<Offer, Int>()

    /** Bookings that the cloud has answered and whose machines are not all up yet. */
    private val answered = HashMap<String, ProvisioningRequest>()

    fun beginTerm(newTerm: Long) {
        term = newTerm
        requestCount = 0
        answered.clear()
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
            carryOut(request) { provision(request) }
            return
        }
        instances.provisioned(request.machines.filter { it !in machines.deletedNames }, request.offer, nowMs())
        answered[request.name] = request
    }

    fun scaleOutFor(
        demands: List<ResourceRequest>,
        now: Long,
    ) {
        if (machines.machineTypes.isEmpty() || underWay.isNotEmpty()) return
        val owned = HashMap<String, Int>()
        for (instance in instances.all) owned.merge("${instance.offer.type}/${instance.offer.zone}", 1, Int::plus)
        val coming =
            instances.coming(now).mapNotNullTo(ArrayList()) { instance ->
                machines.machineTypes[instance.offer.type]?.let { type ->
                    ScaleOutPlan.Room(instance.offer.type, instance.offer.zone, instance.offer.isSpot, type.resources)
                }
            }
        val market = Market({ (refusedUntil[it] ?: 0L) > now }, { instances.bootTimes.slowness(it) })
        val plan = ScaleOutPlan.plan(demands, coming, machines.machineTypes.values, market, owned, MOST_AT_ONCE)
        for ((offer, count) in plan) {
            for (part in 0 until count step MOST_A_BOOKING) {
                decide(ProvisioningRequest("b$term-${++requestCount}", offer, minOf(MOST_A_BOOKING, count - part)))
            }
        }
    }

    /** A booking is stored before the cloud hears of it, so that its name is used for nothing else. */
    private fun decide(request: ProvisioningRequest) =
        carryOut(request) {
            val stored =
                state.transact(1, Urgency.INTENT) {
                    Transaction(
                        listOf(Compare(Keys.FLEET, term)),
                        listOf(Put(Keys.PROVISIONING + request.name, request.toJson())),
                    )
                }
            if (stored is TransactionResult.Applied) provision(request)
        }

    private fun carryOut(
        request: ProvisioningRequest,
        action: suspend () -> Unit,
    ) {
        underWay.add(request.name)
        scope.launch {
            try {
                action()
            } finally {
                underWay.remove(request.name)
            }
        }
    }

    /** Asks the cloud until it has certainly answered or refused. */
    private suspend fun provision(request: ProvisioningRequest) {
        val offer = request.offer
        val at = nowMs()
        var isUnclear = false
        while (true) {
            when (val result = cloud.rent(request.name, offer.type, offer.zone, offer.isSpot, request.count)) {
                is ProvisioningResult.Provisioned -> {
                    provisioned(request, result.names, at)
                    return
                }
                ProvisioningResult.NoCapacity -> {
                    log.info("no capacity for {} in {} spot={}", offer.type, offer.zone, offer.isSpot)
                    refuse(offer)
                    break
                }
                ProvisioningResult.Refused ->
                    if (!isUnclear) {
                        refusedUntil[offer] = nowMs() + settings.leaseMs / REFUSED_SHARE
                        break
                    }
                ProvisioningResult.Unknown -> isUnclear = true
            }
            if (!isLeader()) return
            delay(settings.leaseMs / REPEAT_SHARE)
        }
        dropNote(request.name)
    }

    private suspend fun provisioned(
        request: ProvisioningRequest,
        names: List<String>,
        at: Long,
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
        instances.provisioned(names.filter { it !in machines.deletedNames }, offer, at)
        if (names.size < request.count) refuse(offer) else refusals.remove(offer)
        if (names.isEmpty()) dropNote(request.name) else keepNote(request.answered(names))
    }

    /** On condition that the note is there: it may have been dropped meanwhile, by the next fleet manager. */
    private suspend fun keepNote(request: ProvisioningRequest) {
        answered[request.name] = request
        val key = Keys.PROVISIONING + request.name
        state.transact(1, Urgency.SUMMARY) {
            val isNoted = sharedKeys.has(key) && request.name in answered
            if (isNoted) {
                Transaction(
                    listOf(Compare(key, sharedKeys.modRevision(key))),
                    listOf(Put(key, request.toJson())),
                )
            } else {
                null
            }
        }
    }

    private suspend fun dropNote(name: String) {
        state.transact(1, Urgency.SUMMARY) { Transaction(emptyList(), listOf(Delete(Keys.PROVISIONING + name))) }
    }

    /**
     * The note of a booking may go when all its machines are up, or gone: until then another fleet manager learns from it, at once
     * and with nothing missing, what is on its way. The cloud's list comes late.
     */
    fun dropSettledNotes() {
        if (answered.isEmpty()) return
        val settled =
            answered.values.filter { request ->
                request.machines.all { it in machines.deletedNames || instances.of(it)?.isUp == true }
            }
        for (request in settled) {
            answered.remove(request.name)
            scope.launch { dropNote(request.name) }
        }
    }

    private fun refuse(offer: Offer) {
        val times = refusals.merge(offer, 1, Int::plus)!!
        refusedUntil[offer] = nowMs() + minOf(times, MOST_REFUSALS) * machines.bootMs(offer.type) / MOST_REFUSALS
    }

    private companion object {
        const val MOST_AT_ONCE = 100

        /** The protocol's limit for one request. */
        const val MOST_A_BOOKING = 50

        /** An offer without capacity is left alone for up to a boot, longer each time. */
        const val MOST_REFUSALS = 6

        /** Parts of a lease until an offer is tried again after an outage, and until an unclear request is repeated. */
        const val REFUSED_SHARE = 5
        const val REPEAT_SHARE = 10
    }
}
