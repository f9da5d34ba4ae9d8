package micatally.fleet

import micatally.settings.Settings
import micatally.worker.MachineRegistry

/**
 * The offers that the cloud turned down recently, and until when they are not requested again. Refusals are forgotten
 * when an offer was not refused for some boot times.
 */
internal class OfferBackoff(
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val nowMs: () -> Long,
) {
    /** The end of the backoff, in milliseconds on this process's clock. */
    private val backoffUntilMs = HashMap<Offer, Long>()

    /** How many times in a row the cloud had no capacity, or too little. */
    private val failuresInRow = HashMap<Offer, Int>()

    /** Whether the offer is not to be requested now. */
    fun isBackingOff(
        offer: Offer,
        now: Long,
    ) = (backoffUntilMs[offer] ?: 0L) > now

    /** How many times in a row the cloud had no capacity for the offer, or too little; 0 once that is forgotten. */
    fun refusalsInRow(
        offer: Offer,
        now: Long,
    ): Int {
        val forgottenAtMs = (backoffUntilMs[offer] ?: return 0) + machines.bootMs(offer.type) * RETENTION_BOOTS
        return if (now < forgottenAtMs) failuresInRow[offer] ?: 0 else 0
    }

    /** Starts a backoff that grows with each failure in a row, up to one boot time of the machine type. */
    fun startBackoff(offer: Offer) {
        val now = nowMs()
        val failures = refusalsInRow(offer, now) + 1
        failuresInRow[offer] = failures
        backoffUntilMs[offer] = now + minOf(failures, BACKOFF_STEPS) * machines.bootMs(offer.type) / BACKOFF_STEPS
    }

    /** Starts a short backoff after a refusal such as an outage, which says nothing about the offer. */
    fun startShortBackoff(offer: Offer) {
        backoffUntilMs[offer] = nowMs() + settings.leaseMs / REFUSAL_RETRIES_PER_LEASE
    }

    /** Resets the backoff steps; called when the cloud has provisioned all machines that were requested. */
    fun reset(offer: Offer) {
        failuresInRow.remove(offer)
    }

    private companion object {
        /** After this many failures in a row, the backoff is a whole boot time. */
        const val BACKOFF_STEPS = 6

        /** Refusals are forgotten this many boot times of the machine type after the last backoff has ended. */
        const val RETENTION_BOOTS = 4

        /** How many times per lease an offer is tried again after a refusal. */
        const val REFUSAL_RETRIES_PER_LEASE = 5
    }
}
