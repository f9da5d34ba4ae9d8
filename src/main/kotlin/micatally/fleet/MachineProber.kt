package micatally.fleet

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

/** Asks workers that are not heard from for a heartbeat, and records on their [Machine] what their system does with the connection. */
class MachineProber(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val settings: Settings,
    private val machines: MachineRegistry,
    private val nowMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("micatally.fleet")
    private val timeoutMs = settings.leaseMs / TIMEOUTS_PER_LEASE

    /** A connection attempt that takes nearly the whole timeout to fail counts as hung. */
    private val hungAfterMs = timeoutMs * 9 / 10

    /** Names of machines whose probe is not over. */
    private val inProgress = HashSet<String>()

    /**
     * Starts a probe, unless one is running or the last one is too recent. An answer counts as a heartbeat. Returns at once.
     */
    fun probe(
        machine: Machine,
        now: Long,
    ) {
        val isBusy = inProgress.size >= settings.maxConcurrentProbes
        val isTooSoon = now - machine.probedAt < timeoutMs
        if (machine.addr.isEmpty() || isBusy || isTooSoon) return
        if (!inProgress.add(machine.name)) return
        machine.probedAt = now
        scope.launch {
            try {
                val outcome = http.call(machine.addr, "GET", "/show", null, timeoutMs)
                record(machine, outcome, nowMs() - now)
            } catch (malformed: MalformedMessage) {
                log.info("machine {} answered a probe with a malformed heartbeat: {}", machine.name, malformed.message)
            } finally {
                inProgress.remove(machine.name)
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
        machine.mute = 0
        machine.dark = 0
        machines.apply(Heartbeat.parse(parseObject(answer.body)), StatusSource.HEARTBEAT)
    }

    private fun recordSilence(machine: Machine) {
        machine.dark = 0
        // The first probe may have used a connection from before; the second has made a new one.
        if (++machine.mute >= PROBES_TO_NEW_CONNECTION) machine.connectedAt = nowMs()
    }

    /** A refused connection fails at once, and shows a running system; one that hangs takes the whole timeout. */
    private fun recordNoConnection(
        machine: Machine,
        tookMs: Long,
    ) {
        machine.mute = 0
        if (tookMs >= hungAfterMs) machine.dark++ else machine.dark = 0
    }

    private companion object {
        const val OK = 200
        const val TIMEOUTS_PER_LEASE = 16

        /** Probes in a row without an answer after which one of them has made a connection of its own. */
        const val PROBES_TO_NEW_CONNECTION = 2
    }
}
