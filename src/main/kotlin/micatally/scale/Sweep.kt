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

/** What is varied along one axis while the other two stay. */
enum class SweepAxis(
    val label: String,
    val of: (SweepSize) -> Int,
) {
    WORKERS("worker", { it.workers }),
    CONTROLLERS("controller", { it.controllers }),
    TEAMS("team", { it.teams }),
}

/**
 * A straight line through one figure along one axis.
 *
 * @property slope change of the figure for one more worker, controller or team
 * @property goodness share of the figure's variance that the line explains (R squared)
 * @property exponent of the power law through the same points; above 1 the figure grows faster than its input
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

/** The runs of a sweep and what they show. */
@Serializable
data class SweepReport(
    val reports: List<ScaleReport>,
    val slopes: List<FittedSlope>,
)

/** Scales a scenario to other sizes, and fits lines through the figures of its runs. */
object Sweep {
    /**
     * The same scenario at another size: jobs come in proportion to the workers.
     *
     * @throws ScenarioError if it is too large or too small
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

    /** The runs in which only [axis] differs from [base], with the base itself. */
    fun fit(
        reports: Map<SweepSize, ScaleReport>,
        base: SweepSize,
        axis: SweepAxis,
    ): List<FittedSlope> {
        val others = SweepAxis.entries - axis
        val along = reports.filterKeys { size -> others.all { it.of(size) == it.of(base) } }
        if (along.size < LEAST_RUNS) return emptyList()
        return FIGURES.map { (name, figure) ->
            fitted(axis, name, along.map { (size, report) -> axis.of(size) to figure(report) })
        }
    }

    private fun fitted(
        axis: SweepAxis,
        name: String,
        points: List<Pair<Int, Double>>,
    ): FittedSlope {
        val line = SimpleRegression()
        val power = SimpleRegression()
        for ((input, value) in points) {
            line.addData(input.toDouble(), value)
            if (value > 0) power.addData(ln(input.toDouble()), ln(value))
        }
        val exponent = if (power.n >= LEAST_RUNS) power.slope else 0.0
        return FittedSlope(
            axis.label,
            name,
            line.slope,
            line.intercept,
            line.rSquare.takeUnless { it.isNaN() } ?: 1.0,
            exponent,
            exponent > FASTER_THAN_INPUT && line.slope > 0,
        )
    }

    /** The figures that lines are fitted through. */
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

    private const val LEAST_RUNS = 3
    private const val FASTER_THAN_INPUT = 1.1

    /** The slopes as a table in Markdown. */
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
