package micatally.fleet

import micatally.wire.ListedMachine

/**
 * A machine that was provisioned and is not known to be deleted.
 *
 * @property provisionedAtMs when the cloud provisioned it, on this process's clock: the earliest time that is known
 */
class ProvisionedInstance(
    val name: String,
    val offer: Offer,
    var provisionedAtMs: Long,
) {
    /** Whether its worker has sent a heartbeat or the cloud has listed it as running. */
    var isUp = false
        private set

    /** Called when its worker has sent a heartbeat or the cloud lists it as running. */
    fun markUp() {
        isUp = true
    }

    /** The time since it was provisioned, in milliseconds; never negative. */
    fun ageMs(nowMs: Long) = maxOf(0L, nowMs - provisionedAtMs)
}

/**
 * All machines that are paid for, with their state: up, booting, or not up in time.
 *
 * @param nominalBootMs the boot time that the cloud states for a machine type, in milliseconds
 */
class ProvisionedInstances(
    nominalBootMs: (String) -> Long,
) {
    private val byName = HashMap<String, ProvisionedInstance>()
    val bootTimes = BootTimes(nominalBootMs)
    val all: Collection<ProvisionedInstance> get() = byName.values

    /** The instance of this name; null if it is not known. */
    fun of(name: String): ProvisionedInstance? = byName[name]

    fun clear() = byName.clear()

    fun removeAll(names: Set<String>) {
        byName.keys.removeIf { it in names }
    }

    /** Adds machines that the cloud has provisioned, on a request of this or of the previous fleet manager. */
    fun addProvisioned(
        names: List<String>,
        offer: Offer,
        atMs: Long,
    ) {
        for (name in names) byName.getOrPut(name) { ProvisionedInstance(name, offer, atMs) }
    }

    /**
     * Applies an entry of the cloud's list. The list also contains the age of machines that another controller has
     * provisioned.
     */
    fun applyListed(
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
     * Records a machine whose worker has sent a heartbeat. If the machine was seen booting, its boot time is recorded
     * too. Boot times are not taken from the cloud's list, because it lags behind.
     *
     * @param firstHeardMs when the first heartbeat of the worker arrived
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

    /** Updates [bootTimes] with the machines that are still booting. */
    fun updateBootTimes(nowMs: Long) {
        val booting = byName.values.filter { !it.isUp }.map { BootingInstance(it.offer, it.ageMs(nowMs)) }
        bootTimes.updateBooting(booting, nowMs)
    }

    /** Machines that are booting and not late; they count as pending capacity. */
    fun pending(nowMs: Long): List<ProvisionedInstance> =
        byName.values.filter { !it.isUp && it.ageMs(nowMs) <= bootTimes.expectedWithinMs(it.offer) }

    /** Machines to give up on: those past the boot timeout, and late ones while no capacity is needed. */
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
