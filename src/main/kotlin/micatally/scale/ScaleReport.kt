package micatally.scale

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.Locale

/** The parameters of a run. A run that is started with the same parameters has the same load. */
@Serializable
data class RunParameters(
    val scenario: String,
    val seed: Int,
    val workers: Int,
    val controllers: Int,
    val teams: Int,
    val measuredSeconds: Double,
)

/**
 * What the fleet did during the measured part of a run.
 *
 * @property tasksInterrupted tasks that left a machine before they had completed, without a cancellation of their job
 * @property jobsNotEnded accepted jobs that were neither done nor cancelled when the run ended
 */
@Serializable
data class LoadFigures(
    val startsPerSecond: Double,
    val tasksRunningAtEnd: Int,
    val jobsAccepted: Int,
    val jobsNotEnded: Int,
    val workersAtEnd: Int,
    val tasksInterrupted: Int = 0,
    val recovery: RecoveryFigures = RecoveryFigures(),
    val brokenRule: String? = null,
)

/** CPU time of a controller process as a share of one core, its memory in MB, and how often it was restarted. */
@Serializable
data class ControllerFigures(
    val host: String,
    val coreShare: Double,
    val residentMb: Double,
    val peakResidentMb: Double,
    val restarts: Int,
)

/** Rates of the messages of one kind on one interface, summed over all senders. */
@Serializable
data class MessageFigures(
    val peer: String,
    val kind: String,
    val perSecond: Double,
    val refusedPerSecond: Double,
    val requestBytesPerSecond: Double,
    val answerBytesPerSecond: Double,
)

/** Keys and bytes that the state store holds under one prefix, and the rate of changes there. */
@Serializable
data class StoredFigures(
    val prefix: String,
    val keys: Int,
    val bytes: Long,
    val changesPerSecond: Double,
)

/** CPU usage of one kind of work, summed over all controllers, from the `cpu usage` lines in their logs. */
@Serializable
data class CpuUsageShare(
    val kind: String,
    val perSecond: Double,
    val coreShare: Double,
    val longestMs: Long,
)

/** Writes of one urgency to the state store, summed over all controllers, from the `cpu usage` lines in their logs. */
@Serializable
data class WriteFigures(
    val urgency: String,
    val perSecond: Double,
    val longestWaitMs: Long,
)

/** Deltas between controllers, summed over all pairs, from the `cpu usage` lines in their logs. */
@Serializable
data class PeerFigures(
    val messagesPerSecond: Double,
    val requestBytesPerSecond: Double,
    val answerBytesPerSecond: Double,
)

/** CPU time of one emulator event loop as a share of one core: the cost of the run's own infrastructure. */
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

    /** Returns the messages per second on the interface [peer]; of all kinds if [kind] is null. */
    fun perSecond(
        peer: String,
        kind: String? = null,
    ) = messages.filter { it.peer == peer && (kind == null || it.kind == kind) }.sumOf { it.perSecond }

    /** Returns the bytes of requests and answers per second on the interface [peer]; of all kinds if [kind] is null. */
    fun bytesPerSecond(
        peer: String,
        kind: String? = null,
    ) = messages.filter { it.peer == peer && (kind == null || it.kind == kind) }.sumOf {
        it.requestBytesPerSecond + it.answerBytesPerSecond
    }

    val changesPerSecond get() = stored.sumOf { it.changesPerSecond }
}

/** Formats a report as Markdown tables, as used in `docs/CAPACITY.md`. */
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
