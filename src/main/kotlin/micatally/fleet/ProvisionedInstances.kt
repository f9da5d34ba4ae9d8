package micatally.fleet

import micatally.wire.ListedMachine

/**
 * A machine that was provisioned and is not deleted, as far as the fleet manager knows.
 *
 * @property provisionedAtMs when the cloud handed it out, on this process's clock; the earliest time known
 */
class ProvisionedInstance(
    val name: String,
    val offer: Offer,
    var provisionedAtMs: Long,
) {
    /** Whether its worker has reported, or the cloud has listed it as running. */
    var isUp = false
        private set

    fun markUp() {
        isUp = true
    }

    /** Time since it was provisioned, in milliseconds; never negative. */
    fun ageMs(nowMs: Long) = maxOf(0L, nowMs - provisionedAtMs)
}

/**
 * All machines that are paid for: which are up, which are booting, and which have not come up in time.
 *
 * @param nominalBootMs the boot time that the cloud states for a machine type, in milliseconds
 */
class ProvisionedInstances(
    nominalBootMs: (String) -> Long,
) {
    private val byName = HashMap<String, ProvisionedInstance>()
    val bootTimes = BootTimes(nominalBootMs)
    val all: Collection<ProvisionedInstance> get() = byName.values

    fun of(name: String): ProvisionedInstance? = byName[name]

    fun clear() = byName.clear()

    fun removeAll(names: Set<String>) {
        byName.keys.removeIf { it in names }
    }

    /** Adds machines that the cloud has just provisioned, or had provisioned for the previous fleet manager. */
    fun provisioned(
        names: List<String>,
        offer: Offer,
        atMs: Long,
    ) {
        for (name in names) byName.getOrPut(name) { ProvisionedInstance(name, offer, atMs) }
    }

    /** Takes in an entry of the cloud's list, which knows the age also of machines that another controller has provisioned. */
    fun listed(
        listedMachine: ListedMachine,
        nowMs: Long,
    ) {
        val provisionedAtMs = nowMs - (maxOf(0.0, listedMachine.ageS) * MS_PER_SECOND).toLong()
        val instance =
            byName.getOrPut(listedMachine.name) {
                val offer = Offer(listedMachine.type, listedMachine.zone, listedMachine.isSpot)
                ProvisionedInstance(listedMachine.name, offer, provisionedAtMs)
            }
        instance.provisionedAtMs = minOf(instance.provisionedAtMs, provisionedAtMs)
        if (listedMachine.status == ListedMachine.RUNNING) instance.markUp()
    }

    /**
     * Takes note of a worker that reports. Boot times are learnt here, from machines seen while they boot, and not from the cloud's
     * list, which lags behind.
     *
     * @param firstHeardMs when the worker reported for the first time
     */
    fun heartbeatReceived(
        name: String,
        offer: Offer,
        firstHeardMs: Long,
    ) {
        val instance = byName.getOrPut(name) { ProvisionedInstance(name, offer, firstHeardMs) }
        val wasSeenBooting = !instance.isUp && firstHeardMs > instance.provisionedAtMs
        if (wasSeenBooting) bootTimes.recordBoot(offer, instance.ageMs(firstHeardMs), firstHeardMs)
        instance.markUp()
    }

    /** Passes the machines that are still booting on to [bootTimes]. */
    fun updateBootTimes(nowMs: Long) {
        val booting = byName.values.filter { !it.isUp }.map { BootingInstance(it.offer, it.ageMs(nowMs)) }
        bootTimes.updateBooting(booting, nowMs)
    }

    /** Machines that are booting and not late: they count as capacity to come. */
    fun pending(nowMs: Long): List<ProvisionedInstance> =
        byName.values.filter { !it.isUp && it.ageMs(nowMs) <= bootTimes.expectedWithinMs(it.offer) }

    /** Machines that are not worth waiting for: those past the boot timeout, and late ones while no capacity is needed. */
    fun timedOut(
        nowMs: Long,
        isCapacityNeeded: Boolean,
    ): List<ProvisionedInstance> =
        byName.values.filter { instance ->
            val ageMs = instance.ageMs(nowMs)
            val isLate = ageMs > bootTimes.expectedWithinMs(instance.offer)
            val isPastTimeout = ageMs > bootTimes.bootTimeoutMs(instance.offer)
            !instance.isUp && (isPastTimeout || isLate && !isCapacityNeeded)
        }

    private companion object {
        const val MS_PER_SECOND = 1000
    }
}
