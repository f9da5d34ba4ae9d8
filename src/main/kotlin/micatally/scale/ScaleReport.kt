package micatally.scale

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.Locale

/** What a run was started with; the same values repeat it. */
@Serializable
data class RunParameters(
    val scenario: String,
    val seed: Int,
    val workers: Int,
    val controllers: Int,
    val teams: Int,
    val measuredSeconds: Double,
)

/** What the fleet did during the measured part. */
@Serializable
data class LoadFigures(
    val startsPerSecond: Double,
    val tasksRunningAtEnd: Int,
    val jobsAccepted: Int,
    val jobsNotEnded: Int,
    val workersAtEnd: Int,
    /** Tasks that left a machine before they had completed, though nobody had cancelled their job. */
    val tasksInterrupted: Int = 0,
    val recovery: RecoveryFigures = RecoveryFigures(),
    val brokenRule: String? = null,
)

/** A controller process: its processor time as a share of a core, and its memory. */
@Serializable
data class ControllerFigures(
    val host: String,
    val coreShare: Double,
    val residentMb: Double,
    val peakResidentMb: Double,
    val restarts: Int,
)

/** Messages of one kind on one interface, all senders together. */
@Serializable
data class MessageFigures(
    val peer: String,
    val kind: String,
    val perSecond: Double,
    val refusedPerSecond: Double,
    val requestBytesPerSecond: Double,
    val answerBytesPerSecond: Double,
)

/** What the state service holds under one prefix and how fast it changes. */
@Serializable
data class StoredFigures(
    val prefix: String,
    val keys: Int,
    val bytes: Long,
    val changesPerSecond: Double,
)

/** One kind of work of all controllers, from their own `effort` lines. */
@Serializable
data class CpuUsageShare(
    val kind: String,
    val perSecond: Double,
    val coreShare: Double,
    val longestMs: Long,
)

/** Writes of one urgency of all controllers, from their own `effort` lines. */
@Serializable
data class WriteFigures(
    val urgency: String,
    val perSecond: Double,
    val longestWaitMs: Long,
)

/** News between controllers, all links together. */
@Serializable
data class PeerFigures(
    val messagesPerSecond: Double,
    val requestBytesPerSecond: Double,
    val answerBytesPerSecond: Double,
)

/** The emulators' own processor time, by loop: how much of the machine the experiment itself took. */
@Serializable
data class EmulatorFigures(
    val loop: String,
    val coreShare: Double,
)

/** All figures of one run. */
@Serializable
data class ScaleReport(
    val origin: RunParameters,
    val load: LoadFigures,
    val controllers: List<ControllerFigures>,
    val messages: List<MessageFigures>,
    val stored: List<StoredFigures>,
    val work: List<CpuUsageShare>,
    val writes: List<WriteFigures>,
    val peers: PeerFigures,
    val latencies: List<LatencyFigures>,
    @SerialName("standins") val emulators: List<EmulatorFigures>,
) {
    val controllerCoreShare get() = controllers.map { it.coreShare }.average()
    val controllerResidentMb get() = controllers.map { it.residentMb }.average()

    fun perSecond(
        peer: String,
        kind: String? = null,
    ) = messages.filter { it.peer == peer && (kind == null || it.kind == kind) }.sumOf { it.perSecond }

    fun bytesPerSecond(
        peer: String,
        kind: String? = null,
    ) = messages.filter { it.peer == peer && (kind == null || it.kind == kind) }.sumOf {
        it.requestBytesPerSecond + it.answerBytesPerSecond
    }

    val changesPerSecond get() = stored.sumOf { it.changesPerSecond }
}

/** Writes a report as tables in Markdown, as `docs/CAPACITY.md` carries them. */
object ReportTable {
    fun of(report: ScaleReport): String =
        buildString {
            val origin = report.origin
            appendLine(
                "${origin.scenario}, seed ${origin.seed}: ${origin.workers} workers, " +
                    "${origin.controllers} controllers, ${origin.teams} teams, " +
                    "${number(origin.measuredSeconds)} s measured",
            )
            appendLine()
            row("figure", "value")
            row("---", "---")
            row("task starts a second", number(report.load.startsPerSecond))
            row("tasks running at the end", report.load.tasksRunningAtEnd)
            row("jobs accepted; not ended", "${report.load.jobsAccepted}; ${report.load.jobsNotEnded}")
            row("tasks interrupted", report.load.tasksInterrupted)
            report.load.recovery.firstAcceptedMs
                ?.let { row("all controllers back, ms to the first acceptance", it) }
            report.load.recovery.firstStartMs
                ?.let { row("all controllers back, ms to the first start", it) }
            row("broken rule", report.load.brokenRule ?: "none")
            row("controller, share of a core, mean", number(report.controllerCoreShare))
            row("controller, share of a core, most", number(report.controllers.maxOf { it.coreShare }))
            row("controller, resident MB, mean", number(report.controllerResidentMb))
            row("controller, resident MB, peak", number(report.controllers.maxOf { it.peakResidentMb }))
            row("news between controllers a second, all links", number(report.peers.messagesPerSecond))
            row("bytes of it a second", number(report.peers.requestBytesPerSecond + report.peers.answerBytesPerSecond))
            row("changes of the state service a second", number(report.changesPerSecond))
            for (loop in report.emulators) row("stand-ins, ${loop.loop}, share of a core", number(loop.coreShare))
            appendLine()
            row("waited for", "count", "p50 ms", "p90 ms", "p99 ms", "max ms")
            row("---", "---", "---", "---", "---", "---")
            for (latency in report.latencies) {
                row(latency.kind, latency.count, latency.p50Ms, latency.p90Ms, latency.p99Ms, latency.maxMs)
            }
            appendLine()
            row("interface", "message", "a second", "refused a second", "bytes in a second", "bytes out a second")
            row("---", "---", "---", "---", "---", "---")
            for (m in report.messages) {
                row(
                    m.peer,
                    m.kind,
                    number(m.perSecond),
                    number(m.refusedPerSecond),
                    number(m.requestBytesPerSecond),
                    number(m.answerBytesPerSecond),
                )
            }
            appendLine()
            row("state under", "keys", "bytes", "changes a second")
            row("---", "---", "---", "---")
            for (s in report.stored) row(s.prefix, s.keys, s.bytes, number(s.changesPerSecond))
            appendLine()
            row("work of all controllers", "a second", "share of a core", "longest ms")
            row("---", "---", "---", "---")
            for (w in report.work) row(w.kind, number(w.perSecond), number(w.coreShare), w.longestMs)
            for (w in report.writes) row("writes: ${w.urgency}", number(w.perSecond), "", "${w.longestWaitMs} (waited)")
        }

    private fun StringBuilder.row(vararg cells: Any) {
        appendLine(cells.joinToString(" | ", "| ", " |"))
    }

    private fun number(value: Double): String =
        when {
            value >= 100 -> "%.0f".format(Locale.ROOT, value)
            value >= 1 -> "%.1f".format(Locale.ROOT, value)
            else -> "%.3f".format(Locale.ROOT, value)
        }
}
