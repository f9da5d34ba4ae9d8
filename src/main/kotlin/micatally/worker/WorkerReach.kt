package micatally.worker

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.settings.Settings
import micatally.wire.Heartbeat
import micatally.wire.MalformedMessage
import micatally.wire.parseObject
import org.slf4j.LoggerFactory

/** Whether messages from workers reach this controller. */
enum class ReachState {
    /** They do, or there is no sign that they do not. */
    REACHING,

    /** None has arrived for a while although other controllers hear from workers. Some workers are being probed. */
    DOUBTFUL,

    /** None of the probed workers responded, in several rounds of probes in a row. */
    CUT_OFF,
}

/**
 * Detects that this controller is cut off from all workers. Such a controller may still reach the state store and the
 * other controllers. It would then go on accepting jobs and keep its shards, and none of their tasks would start. Used
 * from the event loop only.
 */
class WorkerReach(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.worker")

    /** After this time without a message from a worker, the controller begins to probe workers. */
    private val quietMs = maxOf(settings.heartbeatIntervalMs * 2, settings.leaseMs / QUIET_PERIODS_PER_LEASE)
    private val probeTimeoutMs = settings.leaseMs / PROBE_TIMEOUTS_PER_LEASE

    /** A cut-off that is shorter than this does not make the controller step down. */
    private val cutOffToleranceMs = settings.leaseMs / TOLERANCES_PER_LEASE
    private var isProbing = false

    /** Rounds of probes in a row without any response. */
    private var failedRounds = 0
    private var cutOffSince = 0L

    /** When the last cut-off ended for which the controller was to step down. */
    private var lastReconnectedAt = LONG_AGO
    private var shouldStepDown = false

    /** The state as of the last [review] or round of probes. */
    var state = ReachState.REACHING
        private set

    /** The only function that changes [state]. */
    private fun transitionTo(next: ReachState) {
        if (next == state) return
        if (next == ReachState.CUT_OFF) cutOffSince = nowMs()
        if (next == ReachState.REACHING) {
            failedRounds = 0
            if (shouldStepDown) lastReconnectedAt = nowMs()
            shouldStepDown = false
        }
        if (next == ReachState.CUT_OFF || state == ReachState.CUT_OFF) log.info("workers: {} -> {}", state, next)
        state = next
    }

    val isCutOff get() = state == ReachState.CUT_OFF

    /**
     * Whether the controller should give up its shards to other controllers because it is cut off from the workers.
     * Once true, it stays true as long as the controller is cut off.
     *
     * A cut-off shorter than [cutOffToleranceMs] moves no shards. After a cut-off for which it was to step down has
     * ended, the controller keeps its shards for [LEASES_BETWEEN_STEP_DOWNS] leases even if it is cut off again.
     */
    fun shouldStepDown(): Boolean {
        val now = nowMs()
        if (!isCutOff) return false
        val isLasting = now - cutOffSince > cutOffToleranceMs
        val isLongSinceReconnected = now - lastReconnectedAt > settings.leaseMs * LEASES_BETWEEN_STEP_DOWNS
        if (isLasting && isLongSinceReconnected) shouldStepDown = true
        return shouldStepDown
    }

    /**
     * Updates the state, and starts probes if no worker has been heard from for a while. Called periodically; returns
     * at once.
     */
    fun review() {
        val now = nowMs()
        if (now - machines.lastReachedAt < quietMs) {
            transitionTo(ReachState.REACHING)
            return
        }
        val heardByOthers = machines.byName.values.filter { isHeardByOthers(it, now) }
        if (heardByOthers.isEmpty()) {
            transitionTo(ReachState.REACHING)
            return
        }
        if (state == ReachState.REACHING) transitionTo(ReachState.DOUBTFUL)
        probeSome(heardByOthers)
    }

    private fun isHeardByOthers(
        machine: Machine,
        now: Long,
    ): Boolean {
        val isUp = !machine.deleted && machine.incarnation > 0 && machine.addr.isNotEmpty()
        return isUp && now - machine.heardAt < quietMs
    }

    private fun probeSome(candidates: List<Machine>) {
        if (isProbing) return
        isProbing = true
        val chosen = candidates.sortedBy { it.probedAt }.take(MACHINES_PER_ROUND)
        scope.launch(CoroutineName("worker probes")) {
            try {
                val hasResponse = coroutineScope { chosen.map { async { probe(it) } }.awaitAll().any { it } }
                if (hasResponse) failedRounds = 0 else failedRounds++
                val isQuiet = nowMs() - machines.lastReachedAt >= quietMs
                if (failedRounds >= ROUNDS_TO_CUT_OFF && isQuiet) transitionTo(ReachState.CUT_OFF)
            } finally {
                isProbing = false
            }
        }
    }

    /**
     * Asks the machine for its status. Returns whether it responded; a malformed response also shows that it is
     * reachable.
     */
    private suspend fun probe(machine: Machine): Boolean {
        machine.probedAt = nowMs()
        val outcome = http.call(machine.addr, "GET", STATUS_PATH, null, probeTimeoutMs)
        if (outcome !is Outcome.Answer || outcome.status != OK) return false
        try {
            machines.apply(Heartbeat.parse(parseObject(outcome.body)), StatusSource.HEARTBEAT)
        } catch (e: MalformedMessage) {
            log.info("machine {} responds to a probe with a malformed heartbeat: {}", machine.name, e.message)
        }
        return true
    }

    private companion object {
        const val STATUS_PATH = "/show"
        const val OK = 200
        const val LONG_AGO = Long.MIN_VALUE / 2
        const val QUIET_PERIODS_PER_LEASE = 4
        const val TOLERANCES_PER_LEASE = 4
        const val PROBE_TIMEOUTS_PER_LEASE = 16
        const val MACHINES_PER_ROUND = 3
        const val ROUNDS_TO_CUT_OFF = 2
        const val LEASES_BETWEEN_STEP_DOWNS = 6
    }
}
