package micatally.scale

import micatally.cli.EventLoop
import micatally.emulator.LoopbackFleet
import micatally.emulator.StoredKeys
import java.lang.management.ManagementFactory

/**
 * The counters of a run at one moment.
 *
 * @property changes changes in the state store by key prefix
 * @property controllers figures of the controller processes; null for one that has ended
 * @property loops CPU time in ms by event loop
 * @property logOffsets size in bytes of each controller's log
 */
private class Snapshot(
    val atNs: Long,
    val starts: Int,
    val tasksInterrupted: Int,
    val messages: Map<MessageKind, MessageCount>,
    val changes: Map<String, Long>,
    val controllers: List<ProcessSample?>,
    val loops: Map<String, Long>,
    val logOffsets: List<Long>,
)

/**
 * Computes the figures of a run for the time between [begin] and [end].
 *
 * @param leaseMs the worker lease, which is about the time that each `cpu usage` line of a controller covers
 */
class Measurement(
    private val loops: List<EventLoop>,
    private val fleet: LoopbackFleet,
    private val controllers: List<ControllerProcess>,
    private val history: RunHistory,
    private val messageCounters: MessageCounters,
    private val latencies: Latencies,
    private val leaseMs: Long,
) {
    private val threads = ManagementFactory.getThreadMXBean()
    private lateinit var first: Snapshot

    fun begin() {
        first = takeSnapshot()
        latencies.isRecording = true
    }

    /**
     * Ends the measurement and returns its figures.
     *
     * @param origin the parameters of the run; the measured time is filled in here
     * @param restarts how often each controller was restarted
     * @param stored keys in the state store at present by prefix, read on the store's own loop
     */
    fun end(
        origin: RunParameters,
        restarts: IntArray,
        stored: Map<String, StoredKeys>,
    ): ScaleReport {
        latencies.isRecording = false
        val last = takeSnapshot()
        val seconds = (last.atNs - first.atNs) / 1e9
        val usageLines =
            CpuUsageLines(controllers.indices.flatMap { controllers[it].logLinesSince(first.logOffsets[it]) })
        return ScaleReport(
            origin = origin.copy(measuredSeconds = seconds),
            load = load(last, seconds),
            controllers = controllerFigures(last, seconds, restarts),
            messages = messageFigures(last, seconds),
            stored = storedFigures(last, seconds, stored),
            work = cpuUsageShares(usageLines),
            writes = writeFigures(usageLines),
            peers = peerFigures(usageLines),
            latencies = latencies.figures(),
            emulators = emulatorFigures(last, seconds),
        )
    }

    private fun takeSnapshot() =
        Snapshot(
            System.nanoTime(),
            history.starts,
            history.tasksInterrupted,
            messageCounters.counts(),
            fleet.state.changesByPrefix(),
            controllers.map { it.sample() },
            loops.associate { it.name to loopCpuMs(it) },
            controllers.map { it.logBytes },
        )

    /** Returns the CPU time in ms of the two threads of a loop. */
    private fun loopCpuMs(loop: EventLoop): Long =
        threads.allThreadIds
            .filter { threads.getThreadInfo(it)?.threadName?.startsWith("${loop.name}-") == true }
            .sumOf { threads.getThreadCpuTime(it) } / 1_000_000

    private fun load(
        last: Snapshot,
        seconds: Double,
    ) = LoadFigures(
        startsPerSecond = (last.starts - first.starts) / seconds,
        tasksRunningAtEnd = history.tasksRunning,
        jobsAccepted = history.acceptedCount,
        jobsNotEnded = 0,
        workersAtEnd = fleet.cloud.count(),
        tasksInterrupted = last.tasksInterrupted - first.tasksInterrupted,
        recovery = history.recoveryFigures,
    )

    private fun controllerFigures(
        last: Snapshot,
        seconds: Double,
        restarts: IntArray,
    ) = controllers.mapIndexed { i, controller ->
        val now = last.controllers[i]
        val before = first.controllers[i]?.cpuMs ?: 0L
        // The CPU time of a restarted process begins at 0, so the time before the restart is not subtracted.
        val usedMs = (now?.cpuMs ?: 0L) - if (restarts[i] > 0) 0L else before
        ControllerFigures(
            controller.place.host,
            usedMs / 1000.0 / seconds,
            (now?.residentBytes ?: 0L) / BYTES_PER_MB,
            (now?.peakResidentBytes ?: 0L) / BYTES_PER_MB,
            restarts[i],
        )
    }

    private fun emulatorFigures(
        last: Snapshot,
        seconds: Double,
    ) = last.loops.map { (name, ms) ->
        val usedMs = ms - (first.loops[name] ?: 0L)
        EmulatorFigures(name, usedMs / 1000.0 / seconds)
    }

    private fun messageFigures(
        last: Snapshot,
        seconds: Double,
    ) = last.messages
        .map { (kind, count) ->
            val during = count - (first.messages[kind] ?: MessageCount.NONE)
            MessageFigures(
                kind.peer.name.lowercase(),
                kind.name,
                during.requests / seconds,
                during.refused / seconds,
                during.requestBytes / seconds,
                during.answerBytes / seconds,
            )
        }.sortedWith(compareBy({ it.peer }, { it.kind }))

    private fun storedFigures(
        last: Snapshot,
        seconds: Double,
        stored: Map<String, StoredKeys>,
    ) = (stored.keys + last.changes.keys).sorted().map { prefix ->
        val changes = (last.changes[prefix] ?: 0L) - (first.changes[prefix] ?: 0L)
        StoredFigures(prefix, stored[prefix]?.count ?: 0, stored[prefix]?.bytes ?: 0, changes / seconds)
    }

    /**
     * Returns the factor that turns a sum over the `cpu usage` lines of all controllers into a rate per second of all
     * controllers together. Each line covers about one worker lease of one controller.
     */
    private fun perSecondFactor(usageLines: CpuUsageLines) =
        controllers.size / (maxOf(1, usageLines.lineCount) * leaseMs / 1000.0)

    private fun cpuUsageShares(usageLines: CpuUsageLines) =
        usageLines.work.map { (kind, figures) ->
            val factor = perSecondFactor(usageLines)
            CpuUsageShare(kind, figures.count * factor, figures.totalMs / 1000.0 * factor, figures.longestMs)
        }

    private fun writeFigures(usageLines: CpuUsageLines) =
        usageLines.writes.map { (urgency, figures) ->
            WriteFigures(urgency, figures.count * perSecondFactor(usageLines), figures.longestMs)
        }

    private fun peerFigures(usageLines: CpuUsageLines): PeerFigures {
        val factor = perSecondFactor(usageLines)
        return PeerFigures(
            (usageLines.work["deltas"]?.count ?: 0L) * factor,
            usageLines.deltaBytesReceived * factor,
            usageLines.deltaBytesAnswered * factor,
        )
    }

    private companion object {
        const val BYTES_PER_MB = 1024.0 * 1024.0
    }
}
