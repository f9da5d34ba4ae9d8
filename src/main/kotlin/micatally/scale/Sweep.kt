package micatally.scale

import kotlinx.serialization.Serializable
import org.apache.commons.math3.stat.regression.SimpleRegression
import kotlin.math.ln
import kotlin.math.roundToInt

/** The size of one run of a sweep. */
@Serializable
data class SweepSize(
    val workers: Int,
    val controllers: Int,
    val teams: Int,
)

/**
 * One of the three sizes that a sweep varies while the other two stay the same.
 *
 * @property label its name in the report
 * @property inputOf returns the value of this size
 */
enum class SweepAxis(
    val label: String,
    val inputOf: (SweepSize) -> Int,
) {
    WORKERS("worker", { it.workers }),
    CONTROLLERS("controller", { it.controllers }),
    TEAMS("team", { it.teams }),
}

/**
 * A straight line fitted to one figure of several runs along one axis.
 *
 * @property axis label of a [SweepAxis]
 * @property figure name of the figure
 * @property slope change of the figure for one more worker, controller or team
 * @property goodness share of the figure's variance that the line explains (R squared)
 * @property intercept value of the line at 0
 * @property exponent exponent of the power law fitted to the same points, 0 if too few of them are above 0; above 1 the
 * figure grows faster than its input
 * @property growsFaster whether the exponent is clearly above 1 and the line rises
 */
@Serializable
data class FittedSlope(
    val axis: String,
    val figure: String,
    val slope: Double,
    val intercept: Double,
    val goodness: Double,
    val exponent: Double,
    val growsFaster: Boolean,
)

/** The reports of the runs of a sweep, and the lines fitted to their figures. */
@Serializable
data class SweepReport(
    val reports: List<ScaleReport>,
    val slopes: List<FittedSlope>,
)

/** Scales a scenario to other sizes, and fits lines to the figures of its runs. */
object Sweep {
    /**
     * Returns the scenario at another size. The numbers of jobs change in proportion to the workers.
     *
     * @throws ScenarioError if the size is too large or too small
     */
    fun scaled(
        scenario: Scenario,
        size: SweepSize,
    ): Scenario {
        val factor = size.workers.toDouble() / scenario.workerCount
        val types = scenario.workers.types.map { it.copy(count = maxOf(1, (it.count * factor).roundToInt())) }
        val jobs =
            scenario.jobs.map {
                it.copy(atStart = (it.atStart * factor).roundToInt(), perSecond = it.perSecond * factor)
            }
        val scaled =
            scenario.copy(
                controllers = size.controllers,
                workers = scenario.workers.copy(types = types),
                teams = scenario.teams.copy(count = size.teams),
                jobs = jobs,
            )
        return scaled.also { ScenarioCheck.check(it) }
    }

    /**
     * Fits a line to each figure along [axis], from the run of size [base] and the runs that differ from it in that
     * axis only. Returns an empty list for fewer than [MIN_RUNS] runs.
     */
    fun fit(
        reports: Map<SweepSize, ScaleReport>,
        base: SweepSize,
        axis: SweepAxis,
    ): List<FittedSlope> {
        val others = SweepAxis.entries - axis
        val axisReports = reports.filterKeys { size -> others.all { it.inputOf(size) == it.inputOf(base) } }
        if (axisReports.size < MIN_RUNS) return emptyList()
        return FIGURES.map { (name, figure) ->
            fitLine(axis, name, axisReports.map { (size, report) -> axis.inputOf(size) to figure(report) })
        }
    }

    /** @param points the size and the figure of each run */
    private fun fitLine(
        axis: SweepAxis,
        name: String,
        points: List<Pair<Int, Double>>,
    ): FittedSlope {
        val line = SimpleRegression()
        val powerLaw = SimpleRegression()
        for ((input, value) in points) {
            line.addData(input.toDouble(), value)
            if (value > 0) powerLaw.addData(ln(input.toDouble()), ln(value))
        }
        val exponent = if (powerLaw.n >= MIN_RUNS) powerLaw.slope else 0.0
        return FittedSlope(
            axis.label,
            name,
            line.slope,
            line.intercept,
            line.rSquare.takeUnless { it.isNaN() } ?: 1.0,
            exponent,
            exponent > FASTER_GROWTH_EXPONENT && line.slope > 0,
        )
    }

    /** The figures to which lines are fitted, by their names in the report. */
    private val FIGURES: Map<String, (ScaleReport) -> Double> =
        mapOf(
            "controller, share of a core" to { it.controllerCoreShare },
            "all controllers, cores" to { r -> r.controllers.sumOf { it.coreShare } },
            "controller, resident MB" to { it.controllerResidentMb },
            "task starts a second" to { it.load.startsPerSecond },
            "changes of the state service a second" to { it.changesPerSecond },
            "requests to the state service a second" to { it.perSecond("state") },
            "bytes of the state service a second" to { it.bytesPerSecond("state") },
            "stored bytes" to { r -> r.stored.sumOf { it.bytes }.toDouble() },
            "reports a second" to { it.perSecond("report") },
            "bytes of reports a second" to { it.bytesPerSecond("report") },
            "orders a second" to { it.perSecond("order") },
            "bytes of orders a second" to { it.bytesPerSecond("order") },
            "news between controllers a second" to { it.peers.messagesPerSecond },
            "bytes of news a second" to { it.peers.requestBytesPerSecond + it.peers.answerBytesPerSecond },
            "team changes a second" to { r -> r.stored.filter { it.prefix == "c/team" }.sumOf { it.changesPerSecond } },
        )

    private const val MIN_RUNS = 3

    /** An exponent above this counts as growth faster than the input. */
    private const val FASTER_GROWTH_EXPONENT = 1.1

    /** Formats the slopes as a Markdown table. */
    fun table(report: SweepReport): String =
        buildString {
            appendLine("| figure | for one more | slope | at 0 | R squared | exponent | |")
            appendLine("| --- | --- | --- | --- | --- | --- | --- |")
            for (s in report.slopes) {
                val mark = if (s.growsFaster) "faster than its input" else ""
                appendLine(
                    "| ${s.figure} | ${s.axis} | %.4g | %.4g | %.3f | %.2f | $mark |"
                        .format(java.util.Locale.ROOT, s.slope, s.intercept, s.goodness, s.exponent),
                )
            }
        }
}
