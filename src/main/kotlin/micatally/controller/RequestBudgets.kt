package micatally.controller

import kotlinx.coroutines.CoroutineScope
import micatally.settings.Settings
import micatally.state.RateBudget

/**
 * Limits the rate of this controller's requests to the state store and to the cloud. The platform's rate limits apply
 * to all controllers together. Each controller therefore takes an equal share of the state store's limits, after a
 * safety margin.
 *
 * @param nowMs the controller's clock, in milliseconds
 */
class RequestBudgets(
    scope: CoroutineScope,
    settings: Settings,
    nowMs: () -> Long,
) {
    /** The part of each of the state store's limits that this controller may use. */
    private val share = USABLE_PART / settings.controllers

    /** The budget of all requests to the state store. */
    val stateRequests = RateBudget(scope, settings.stateLimits.rps * share, nowMs)

    /** The budget of writes to the state store. Urgent writes may borrow what the other controllers leave unused. */
    val stateWrites =
        RateBudget(
            scope,
            settings.stateWriteRps * share,
            nowMs,
            settings.stateWriteRps * (USABLE_PART - share),
        )

    /** The budget of requests to the cloud. It is not divided by the controllers: only the fleet manager makes many. */
    val cloudRequests = RateBudget(scope, settings.cloudRps * USABLE_CLOUD_PART, nowMs)

    private val userReadRps = settings.stateLimits.rps * share * USER_READ_PART

    /** The budget of reads of job records for users. It is a part of [stateRequests]. */
    val userReads = RateBudget(scope, userReadRps, nowMs)

    /** How many reads for users may wait at once: as many as [userReads] allows in one second. */
    val maxWaitingUserReads = maxOf(1, userReadRps.toInt())

    private companion object {
        /** The part of the state store's limits that all controllers together use. */
        const val USABLE_PART = 0.95

        /** The part of the cloud's rate limit that is used. */
        const val USABLE_CLOUD_PART = 0.9

        /** The part of a controller's requests to the state store that reads for users may use. */
        const val USER_READ_PART = 0.5
    }
}
