package micatally.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import micatally.ledger.SharedKeyCache
import micatally.ledger.Keys
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
class Renting(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateStoreClient,
    private val cloud: CloudClient,
    private val sharedKeys: SharedKeyCache,
    private val machines: MachineRegistry,
    private val rentals: Rentals,
    private val isLeader: () -> Boolean,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private var term = 0L
    private var bookings = 0

    /** Names of bookings that are being stored or asked for. */
    private val underWay = HashSet<String>()
    private val refusedUntil = HashMap<Offer, Long>()
    private val refusals = HashMap<Offer, Int>()

    /** Bookings that the cloud has answered and whose machines are not all up yet. */
    private val answered = HashMap<String, Booking>()

    fun beginTerm(newTerm: Long) {
        term = newTerm
        bookings = 0
        answered.clear()
        for (item in sharedKeys.under(Keys.PROVISIONING)) resume(Booking.parse(item.key.removePrefix(Keys.PROVISIONING), item.value))
    }

    /**
     * What the former fleet manager had decided is finished under its names: repeating a booking rents nothing twice. Machines of
     * answered ones are on their way, and would be rented again if they were not counted.
     */
    private fun resume(booking: Booking) {
        if (booking.machines.isEmpty()) {
            carryOut(booking) { book(booking) }
            return
        }
        rentals.rented(booking.machines.filter { it !in machines.deletedNames }, booking.offer, nowMs())
        answered[booking.name] = booking
    }

    fun rentFor(
        demands: List<ResourceRequest>,
        now: Long,
    ) {
        if (machines.machineTypes.isEmpty() || underWay.isNotEmpty()) return
        val owned = HashMap<String, Int>()
        for (rental in rentals.all) owned.merge("${rental.offer.type}/${rental.offer.zone}", 1, Int::plus)
        val coming =
            rentals.coming(now).mapNotNullTo(ArrayList()) { rental ->
                machines.machineTypes[rental.offer.type]?.let { type ->
                    RentPlan.Room(rental.offer.type, rental.offer.zone, rental.offer.spot, type.resources)
                }
            }
        val market = Market({ (refusedUntil[it] ?: 0L) > now }, { rentals.bootTimes.slowness(it) })
        val plan = RentPlan.plan(demands, coming, machines.machineTypes.values, market, owned, MOST_AT_ONCE)
        for ((offer, count) in plan) {
            for (part in 0 until count step MOST_A_BOOKING) {
                decide(Booking("b$term-${++bookings}", offer, minOf(MOST_A_BOOKING, count - part)))
            }
        }
    }

    /** A booking is stored before the cloud hears of it, so that its name is used for nothing else. */
    private fun decide(booking: Booking) =
        carryOut(booking) {
            val stored =
                state.transact(1, Urgency.INTENT) {
                    Transaction(listOf(Compare(Keys.FLEET, term)), listOf(Put(Keys.PROVISIONING + booking.name, booking.toJson())))
                }
            if (stored is TransactionResult.Applied) book(booking)
        }

    private fun carryOut(
        booking: Booking,
        action: suspend () -> Unit,
    ) {
        underWay.add(booking.name)
        scope.launch {
            try {
                action()
            } finally {
                underWay.remove(booking.name)
            }
        }
    }

    /** Asks the cloud until it has certainly answered or refused. */
    private suspend fun book(booking: Booking) {
        val offer = booking.offer
        val at = nowMs()
        var isUnclear = false
        while (true) {
            when (val result = cloud.rent(booking.name, offer.type, offer.zone, offer.spot, booking.count)) {
                is RentResult.Rented -> {
                    rented(booking, result.names, at)
                    return
                }
                RentResult.NoCapacity -> {
                    log.info("no capacity for {} in {} spot={}", offer.type, offer.zone, offer.spot)
                    refuse(offer)
                    break
                }
                RentResult.Refused ->
                    if (!isUnclear) {
                        refusedUntil[offer] = nowMs() + settings.leaseMs / REFUSED_SHARE
                        break
                    }
                RentResult.Unknown -> isUnclear = true
            }
            if (!isLeader()) return
            delay(settings.leaseMs / REPEAT_SHARE)
        }
        dropNote(booking.name)
    }

    private suspend fun rented(
        booking: Booking,
        names: List<String>,
        at: Long,
    ) {
        val offer = booking.offer
        log.info(
            "rented {} of {} {} in {} spot={}: {}",
            names.size,
            booking.count,
            offer.type,
            offer.zone,
            offer.spot,
            names,
        )
        rentals.rented(names.filter { it !in machines.deletedNames }, offer, at)
        if (names.size < booking.count) refuse(offer) else refusals.remove(offer)
        if (names.isEmpty()) dropNote(booking.name) else keepNote(booking.answered(names))
    }

    /** On condition that the note is there: it may have been dropped meanwhile, by the next fleet manager. */
    private suspend fun keepNote(booking: Booking) {
        answered[booking.name] = booking
        val key = Keys.PROVISIONING + booking.name
        state.transact(1, Urgency.SUMMARY) {
            val isNoted = sharedKeys.has(key) && booking.name in answered
            if (isNoted) Transaction(listOf(Compare(key, sharedKeys.modRevision(key))), listOf(Put(key, booking.toJson()))) else null
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
            answered.values.filter { booking ->
                booking.machines.all { it in machines.deletedNames || rentals.of(it)?.isUp == true }
            }
        for (booking in settled) {
            answered.remove(booking.name)
            scope.launch { dropNote(booking.name) }
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
