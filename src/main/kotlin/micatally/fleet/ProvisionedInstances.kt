package micatally.fleet

import micatally.wire.ListedMachine

/** A machine that was rented and has not ended, as far as the fleet manager knows. */
class ProvisionedInstance(
    val name: String,
    val offer: Offer,
    var provisionedAtMs: Long,
) {
    var isUp = false
        private set

    /** It reports, or is listed as running. */
    fun markUp() {
        isUp = true
    }

    fun ageMs(nowMs: Long) = maxOf(0L, nowMs - provisionedAtMs)
}

/** All machines that are paid for: which are up, which are on their way, and which are waited for in vain. */
class ProvisionedInstances(
    private val nominalBootMs: (String) -> Long,
) {
    private val byName = HashMap<String, ProvisionedInstance>()
    val bootTimes = BootTimes(nominalBootMs)
    val all: Collection<ProvisionedInstance> get() = byName.values

    fun of(name: String): ProvisionedInstance? = byName[name]

    fun clear() = byName.clear()

    fun removeAll(names: Set<String>) {
        byName.keys.removeIf { it in names }
    }

    /** Machines that the cloud has just rented, or had rented to the former fleet manager. */
    fun provisioned(
        names: List<String>,
        offer: Offer,
        atMs: Long,
    ) {
        for (name in names) byName.getOrPut(name) { ProvisionedInstance(name, offer, atMs) }
    }

    /** A line of the cloud's list; it knows the age, also of machines that somebody else has rented. */
    fun listed(
        listedMachine: ListedMachine,
        nowMs: Long,
    ) {
        val provisionedAtMs = nowMs - (maxOf(0.0, listedMachine.ageS) * 1000).toLong()
        val instance =
            byName.getOrPut(
                listedMachine.name,
            ) {
                ProvisionedInstance(
                    listedMachine.name,
                    Offer(listedMachine.type, listedMachine.zone, listedMachine.spot),
                    provisionedAtMs,
                )
            }
        instance.provisionedAtMs = minOf(instance.provisionedAtMs, provisionedAtMs)
        if (listedMachine.status == ListedMachine.RUNNING) instance.markUp()
    }

    /**
     * A worker reports. How long its machine took is learnt from those seen coming up, not from what the list says late.
     *
     * @param firstHeardMs when its worker reported first
     */
    fun heartbeatReceived(
        name: String,
        offer: Offer,
        firstHeardMs: Long,
    ) {
        val instance = byName.getOrPut(name) { ProvisionedInstance(name, offer, firstHeardMs) }
        if (!instance.isUp &&
            firstHeardMs > instance.provisionedAtMs
        ) {
            bootTimes.recordBoot(offer, instance.ageMs(firstHeardMs), firstHeardMs)
        }
        instance.markUp()
    }

    /** Tells the boot times which machines are out. */
    fun updatePending(nowMs: Long) {
        bootTimes.updatePending(byName.values.filter { !it.isUp }.map { it.offer to it.ageMs(nowMs) }, nowMs)
    }

    /** Machines on their way that may be counted on. */
    fun pending(nowMs: Long): List<ProvisionedInstance> =
        byName.values.filter { !it.isUp && it.ageMs(nowMs) <= bootTimes.expectedWithinMs(it.offer) }

    /** Machines that are not worth waiting for: hopeless ones, and late ones for which there is no need any more. */
    fun timedOut(
        nowMs: Long,
        isCapacityNeeded: Boolean,
    ): List<ProvisionedInstance> =
        byName.values.filter { instance ->
            val ageMs = instance.ageMs(nowMs)
            val isLate = ageMs > bootTimes.expectedWithinMs(instance.offer)
            !instance.isUp && (ageMs > bootTimes.bootTimeoutMs(instance.offer) || isLate && !isCapacityNeeded)
        }
}
