package micatally.scale

import micatally.cli.EventLoop
import micatally.emulator.LoopbackFleet
import micatally.emulator.StoredKeys
import java.lang.management.ManagementFactory

/** The figures of all roles at one moment. */
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

/** Takes the figures of a run between [begin] and [end]. */
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
        first = take()
        latencies.isRecording = true
    }

    /** @param stored what the state service holds now, taken on its own loop */
    fun end(
        origin: RunParameters,
        restarts: IntArray,
        stored: Map<String, StoredKeys>,
    ): ScaleReport {
        latencies.isRecording = false
        val last = take()
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

    private fun take() =
        Snapshot(
            System.nanoTime(),
            history.starts,
            history.tasksInterrupted,
            messageCounters.counts(),
            fleet.state.changesByPrefix(),
            controllers.map { it.sample() },
            loops.associate { it.name to loopMs(it) },
            controllers.map { it.logBytes },
        )

    /** Processor time of a loop's two threads. */
    private fun loopMs(loop: EventLoop): Long =
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
        val before = first.controllers[i]?.processorMs ?: 0L
        // A process that was started anew has only its own time.
        val usedMs = (now?.processorMs ?: 0L) - if (restarts[i] > 0) 0L else before
        ControllerFigures(
            controller.place.host,
            usedMs / 1000.0 / seconds,
            (now?.residentBytes ?: 0L) / BYTES_A_MB,
            (now?.peakResidentBytes ?: 0L) / BYTES_A_MB,
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

    /** What makes sums over the lines of all controllers rates of all of them together: each line tells of about one lease
     * of one controller. */
    private fun perSecond(usageLines: CpuUsageLines) =
        controllers.size / (maxOf(1, usageLines.count) * leaseMs / 1000.0)

    private fun cpuUsageShares(usageLines: CpuUsageLines) =
        usageLines.work.map { (kind, figures) ->
            val factor = perSecond(usageLines)
            CpuUsageShare(kind, figures.count * factor, figures.totalMs / 1000.0 * factor, figures.longestMs)
        }

    private fun writeFigures(usageLines: CpuUsageLines) =
        usageLines.writes.map { (urgency, figures) ->
            WriteFigures(urgency, figures.count * perSecond(usageLines), figures.longestMs)
        }

    private fun peerFigures(usageLines: CpuUsageLines): PeerFigures {
        val factor = perSecond(usageLines)
        return PeerFigures(
            (usageLines.work["deltas"]?.count ?: 0L) * factor,
            usageLines.deltaBytesReceived * factor,
            usageLines.deltaBytesAnswered * factor,
        )
    }

    private companion object {
        const val BYTES_A_MB = 1024.0 * 1024.0
    }
}
