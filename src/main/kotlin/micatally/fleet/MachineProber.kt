package micatally.fleet

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import micatally.http.HttpCaller
import micatally.http.Outcome
import micatally.settings.Settings
import micatally.wire.Heartbeat
import micatally.wire.MalformedMessage
import micatally.wire.parseObject
import micatally.worker.Machine
import micatally.worker.MachineRegistry
import micatally.worker.StatusSource
import org.slf4j.LoggerFactory

/**
 * Probes silent workers: requests a heartbeat, and records on their [Machine] whether the operating system accepts the
 * connection and whether the worker responds.
 */
class MachineProber(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val timeoutMs = settings.leaseMs / TIMEOUTS_PER_LEASE

    /**
     * A connection attempt that fails after this long or later counts as hung, in milliseconds. It is nearly the whole
     * timeout.
     */
    private val hungAfterMs = timeoutMs * 9 / 10

    /** Names of the machines that are being probed. */
    private val probesInProgress = HashSet<String>()

    /**
     * Starts a probe and returns at once. Does nothing if the machine is being probed already or was probed too
     * recently, if its address is not known, or if too many probes are in progress. A response counts as a heartbeat.
     */
    fun probe(
        machine: Machine,
        now: Long,
    ) {
        val hasTooManyProbes = probesInProgress.size >= settings.maxConcurrentProbes
        val isTooSoon = now - machine.probedAt < timeoutMs
        if (machine.addr.isEmpty() || hasTooManyProbes || isTooSoon) return
        if (!probesInProgress.add(machine.name)) return
        machine.probedAt = now
        scope.launch(CoroutineName("machine probe")) {
            try {
                val outcome = http.call(machine.addr, "GET", "/show", null, timeoutMs)
                record(machine, outcome, nowMs() - now)
            } catch (malformed: MalformedMessage) {
                log.info("machine {} answered a probe with a malformed heartbeat: {}", machine.name, malformed.message)
            } finally {
                probesInProgress.remove(machine.name)
            }
        }
    }

    private fun record(
        machine: Machine,
        outcome: Outcome,
        tookMs: Long,
    ) {
        when (outcome) {
            is Outcome.Answer -> recordAnswer(machine, outcome)
            Outcome.NoResponse, Outcome.TooLarge -> recordSilence(machine)
            Outcome.NotSent -> recordNoConnection(machine, tookMs)
        }
    }

    private fun recordAnswer(
        machine: Machine,
        answer: Outcome.Answer,
    ) {
        if (answer.status != OK) return
        machine.unansweredProbesInRow = 0
        machine.hungConnections = 0
        machines.apply(Heartbeat.parse(parseObject(answer.body)), StatusSource.HEARTBEAT)
    }

    /** The connection was accepted, but no usable response came. */
    private fun recordSilence(machine: Machine) {
        machine.hungConnections = 0
        // The first probe may have reused an old connection. The second one has opened a new one.
        if (++machine.unansweredProbesInRow >= PROBES_TO_NEW_CONNECTION) machine.unansweredConnectionAt = nowMs()
    }

    /**
     * No connection was made. A refused connection fails at once and shows that the system runs; a hung one takes the
     * whole timeout.
     */
    private fun recordNoConnection(
        machine: Machine,
        tookMs: Long,
    ) {
        machine.unansweredProbesInRow = 0
        if (tookMs >= hungAfterMs) machine.hungConnections++ else machine.hungConnections = 0
    }

    private companion object {
        const val OK = 200

        /** The timeout of a probe is this fraction of a lease. */
        const val TIMEOUTS_PER_LEASE = 16

        /** After this many probes in a row without a response, one of them has opened a new connection. */
        const val PROBES_TO_NEW_CONNECTION = 2
    }
}
