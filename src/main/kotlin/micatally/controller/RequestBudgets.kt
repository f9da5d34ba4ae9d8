package micatally.controller

import kotlinx.coroutines.CoroutineScope
import micatally.settings.Settings
import micatally.state.RateBudget

/**
 * How many requests this controller may make. The platform's limits hold for all controllers together, so each of
 * them keeps to an equal share, below the limit by a margin.
 *
 * @param nowMs time in milliseconds on the controller's clock
 */
class RequestBudgets(
    scope: CoroutineScope,
    settings: Settings,
    nowMs: () -> Long,
) {
    /** This controller's share of a limit on the state store. */
    private val share = USABLE_PART / settings.controllers

    /** All requests to the state store. */
    val stateRequests = RateBudget(scope, settings.stateLimits.rps * share, nowMs)

    /** Writes to the state store. Urgent ones may borrow what the other controllers leave unused. */
    val stateWrites =
        RateBudget(
            scope,
            settings.stateWriteRps * share,
            nowMs,
            settings.stateWriteRps * (USABLE_PART - share),
        )

    /** Requests to the cloud; only the fleet manager makes many. */
    val cloudRequests = RateBudget(scope, settings.cloudRps * USABLE_CLOUD_PART, nowMs)

    private val userReadRps = settings.stateLimits.rps * share * USER_READ_PART

    /** Reads of job records on behalf of users, a part of [stateRequests]. */
    val userReads = RateBudget(scope, userReadRps, nowMs)

    /** So many reads on behalf of users may wait at once: those of one second. */
    val maxWaitingUserReads = maxOf(1, userReadRps.toInt())

    private companion object {
        /** The part of the state store's limits that all controllers use together. */
        const val USABLE_PART = 0.95

        const val USABLE_CLOUD_PART = 0.9

        /** The part of a controller's requests to the state store that users' reads may take. */
        const val USER_READ_PART = 0.5
    }
}
