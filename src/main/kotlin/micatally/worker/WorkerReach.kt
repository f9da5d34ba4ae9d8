package micatally.worker

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

/** Whether messages of workers reach this controller. */
enum class ReachState {
    /** They do. */
    REACHING,

    /** None has for a while though other controllers hear workers; some are being probed. */
    DOUBTFUL,

    /** None of those probed responded, several times over. */
    CUT_OFF,
}

/**
 * Whether this controller can talk to workers at all. One that can't, while it still has the state store and the other
 * controllers, would go on accepting jobs and keep those it has, and none of them would start. Used from the event loop only.
 */
class WorkerReach(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.worker")
    private val quietMs = maxOf(settings.heartbeatIntervalMs * 2, settings.leaseMs / QUIET_PERIODS_PER_LEASE)
    private val probeTimeoutMs = settings.leaseMs / PROBE_TIMEOUTS_PER_LEASE
    private val cutOffToleranceMs = settings.leaseMs / TOLERANCES_PER_LEASE
    private var isProbing = false
    private var failedRounds = 0
    private var cutOffSince = 0L

    /** When the last cut ended for which this controller stepped down. */
    private var lastReturnAt = LONG_AGO
    private var shouldStepDown = false

    /** As of the last [review] or probe. */
    var state = ReachState.REACHING
        private set

    /** The one place where the state changes. */
    private fun transitionTo(next: ReachState) {
        if (next == state) return
        if (next == ReachState.CUT_OFF) cutOffSince = nowMs()
        if (next == ReachState.REACHING) {
            failedRounds = 0
            if (shouldStepDown) lastReturnAt = nowMs()
            shouldStepDown = false
        }
        if (next == ReachState.CUT_OFF || state == ReachState.CUT_OFF) log.info("workers: {} -> {}", state, next)
        state = next
    }

    val isCutOff get() = state == ReachState.CUT_OFF

    /**
     * Whether the controller is to leave its shards to others; once true, true until workers are reached again. Cuts of a few seconds move
     * nothing, and after its return the controller keeps its work for some leases whatever happens.
     */
    fun mayStepDown(): Boolean {
        val now = nowMs()
        if (!isCutOff) return false
        val isLasting = now - cutOffSince > cutOffToleranceMs
        val isLongSinceReturn = now - lastReturnAt > settings.leaseMs * LEASES_BETWEEN
        if (isLasting && isLongSinceReturn) shouldStepDown = true
        return shouldStepDown
    }

    /** Brings the state up to date, and probes workers where in doubt. Called periodically; returns at once. */
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
        val chosen = candidates.sortedBy { it.probedAt }.take(MACHINES_A_ROUND)
        scope.launch {
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

    /** Asks the machine for its status. True if it responded, even with something malformed: then it is reached. */
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
        const val MACHINES_A_ROUND = 3
        const val ROUNDS_TO_CUT_OFF = 2
        const val LEASES_BETWEEN = 6
    }
}
