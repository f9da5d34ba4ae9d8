package micatally.job

import kotlinx.coroutines.CompletableDeferred

/** A call of [JobStore.awaitDurable] that waits until this [version] of its job is durable. */
class DurabilityWaiter(
    val version: Long,
) {
    /** Completed once: true if the version is durable, false if it never will be. */
    val isDurable = CompletableDeferred<Boolean>()
}
