package micatally.membership

/**
 * The time for which this controller has been in contact with the other controllers without interruption: through the
 * state store, or with all of them directly. Outside of it the controller may miss what the others know, for example
 * because it is cut off or was suspended. That it heard nothing then proves nothing about anybody else.
 *
 * All times are in ms on this controller's clock.
 *
 * @param maxGapMs the longest time between two proofs of contact within one period
 */
internal class ContactPeriod(
    private val maxGapMs: Long,
    private val nowMs: () -> Long,
) {
    private var provenAtMs = NEVER_MS
    private var beganAtMs = NEVER_MS

    /** When the present period began; null while there is no contact. */
    val sinceMs: Long? get() = beganAtMs.takeIf { nowMs() - provenAtMs <= maxGapMs }

    /** Called with the time of a proof of contact. Times before that of an earlier proof are ignored. */
    fun proven(atMs: Long) {
        if (atMs <= provenAtMs) return
        if (atMs - provenAtMs > maxGapMs) beganAtMs = atMs
        provenAtMs = atMs
    }

    private companion object {
        /** The time of an event that has not happened: far in the past, yet differences to it do not overflow. */
        const val NEVER_MS = Long.MIN_VALUE / 2
    }
}
