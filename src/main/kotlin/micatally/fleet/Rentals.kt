package micatally.fleet

import micatally.wire.ListedMachine

/** A machine that was rented and has not ended, as far as the fleet manager knows. */
class Rental(
    val name: String,
    val offer: Offer,
    var rentedAtMs: Long,
) {
    var isUp = false
        private set

    /** It reports, or is listed as running. */
    fun cameUp() {
        isUp = true
    }

    fun ageMs(nowMs: Long) = maxOf(0L, nowMs - rentedAtMs)
}

/** All machines that are paid for: which are up, which are on their way, and which are waited for in vain. */
class Rentals(
    private val nominalBootMs: (String) -> Long,
) {
    private val byName = HashMap<String, Rental>()
    val bootTimes = BootTimes(nominalBootMs)
    val all: Collection<Rental> get() = byName.values

    fun of(name: String): Rental? = byName[name]

    fun clear() = byName.clear()

    fun removeAll(names: Set<String>) {
        byName.keys.removeIf { it in names }
    }

    /** Machines that the cloud has just rented, or had rented to the former fleet manager. */
    fun rented(
        names: List<String>,
        offer: Offer,
        atMs: Long,
    ) {
        for (name in names) byName.getOrPut(name) { Rental(name, offer, atMs) }
    }

    /** A line of the cloud's list; it knows the age, also of machines that somebody else has rented. */
    fun listed(
        line: ListedMachine,
        nowMs: Long,
    ) {
        val rentedAtMs = nowMs - (maxOf(0.0, line.ageS) * 1000).toLong()
        val rental =
            byName.getOrPut(
                line.name,
            ) { Rental(line.name, Offer(line.type, line.zone, line.spot), rentedAtMs) }
        rental.rentedAtMs = minOf(rental.rentedAtMs, rentedAtMs)
        if (line.status == ListedMachine.RUNNING) rental.cameUp()
    }

    /**
     * A worker reports. How long its machine took is learnt from those seen coming up, not from what the list says late.
     *
     * @param firstHeardMs when its worker reported first
     */
    fun reports(
        name: String,
        offer: Offer,
        firstHeardMs: Long,
    ) {
        val rental = byName.getOrPut(name) { Rental(name, offer, firstHeardMs) }
        if (!rental.isUp &&
            firstHeardMs > rental.rentedAtMs
        ) {
            bootTimes.cameUp(offer, rental.ageMs(firstHeardMs), firstHeardMs)
        }
        rental.cameUp()
    }

    /** Tells the boot times which machines are out. */
    fun observe(nowMs: Long) {
        bootTimes.observe(byName.values.filter { !it.isUp }.map { it.offer to it.ageMs(nowMs) }, nowMs)
    }

    /** Machines on their way that may be counted on. */
    fun coming(nowMs: Long): List<Rental> =
        byName.values.filter { !it.isUp && it.ageMs(nowMs) <= bootTimes.plausibleMs(it.offer) }

    /** Machines that are not worth waiting for: hopeless ones, and late ones for which there is no need any more. */
    fun givenUp(
        nowMs: Long,
        isNeeded: Boolean,
    ): List<Rental> =
        byName.values.filter { rental ->
            val age = rental.ageMs(nowMs)
            val isLate = age > bootTimes.plausibleMs(rental.offer)
            !rental.isUp && (age > bootTimes.hopelessMs(rental.offer) || isLate && !isNeeded)
        }
}
