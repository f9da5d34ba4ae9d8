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

/**
 * REACHING: workers' own words come in.
 * DOUBTFUL: none have for a while though other controllers hear workers; some are being asked.
 * CUT_OFF: none of those asked answered, several times over.
 */
enum class ReachState { REACHING, DOUBTFUL, CUT_OFF }

/**
 * Whether this controller can talk to workers at all. One that can't, while it still has the state service and the other
 * controllers, would go on accepting jobs and keep those it has, and none of them would start.
 */
class WorkerReach(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.worker")
    private val quietMs = maxOf(settings.heartbeatIntervalMs * 2, settings.leaseMs / 4)
    private val askMs = settings.leaseMs / 16
    private var isAsking = false
    private var failedRounds = 0
    private var cutOffSince = 0L
    private var stoodBackUntil = Long.MIN_VALUE / 2
    private var shouldStepDown = false

    var state = ReachState.REACHING
        private set

    /** The one place where the state changes. */
    private fun transitionTo(next: ReachState) {
        if (next == state) return
        if (next == ReachState.CUT_OFF) cutOffSince = nowMs()
        if (next == ReachState.REACHING) {
            failedRounds = 0
            if (shouldStepDown) stoodBackUntil = nowMs()
            shouldStepDown = false
        }
        if (next == ReachState.CUT_OFF || state == ReachState.CUT_OFF) log.info("workers: {} -> {}", state, next)
        state = next
    }

    val isCutOff get() = state == ReachState.CUT_OFF

    /**
     * Whether the node is to leave its shards to others. Cuts of a few seconds move nothing, and after its return it keeps its work
     * for some leases whatever happens.
     */
    fun mayStepDown(): Boolean {
        val now = nowMs()
        if (!isCutOff) return false
        if (now - cutOffSince > settings.leaseMs / 4 &&
            now - stoodBackUntil > settings.leaseMs * LEASES_BETWEEN
        ) {
            shouldStepDown = true
        }
        return shouldStepDown
    }

    /** Looks at the clock, and asks workers where in doubt. */
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
        ask(heardByOthers)
    }

    private fun isHeardByOthers(
        m: Machine,
        now: Long,
    ) = !m.deleted && m.incarnation > 0 && m.addr.isNotEmpty() && now - m.heardAt < quietMs

    private fun ask(machinesToAsk: List<Machine>) {
        if (isAsking) return
        isAsking = true
        val chosen = machinesToAsk.sortedBy { it.probedAt }.take(MACHINES_A_ROUND)
        scope.launch {
            try {
                val isAnswered = coroutineScope { chosen.map { async { answers(it) } }.awaitAll().any { it } }
                if (isAnswered) failedRounds = 0 else failedRounds++
                if (failedRounds >= ROUNDS_TO_CUT_OFF &&
                    nowMs() - machines.lastReachedAt >= quietMs
                ) {
                    transitionTo(ReachState.CUT_OFF)
                }
            } finally {
                isAsking = false
            }
        }
    }

    private suspend fun answers(m: Machine): Boolean {
        m.probedAt = nowMs()
        val out = http.call(m.addr, "GET", "/show", null, askMs)
        if (out !is Outcome.Answer || out.status != 200) return false
        try {
            machines.apply(Heartbeat.parse(parseObject(out.body)), StatusSource.HEARTBEAT)
        } catch (e: MalformedMessage) {
            log.info("machine {} answers what is no report: {}", m.name, e.message)
        }
        return true
    }

    private companion object {
        const val MACHINES_A_ROUND = 3
        const val ROUNDS_TO_CUT_OFF = 2
        const val LEASES_BETWEEN = 6
    }
}
