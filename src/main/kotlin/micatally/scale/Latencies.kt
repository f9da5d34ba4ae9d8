package micatally.scale

import kotlinx.serialization.Serializable
import org.HdrHistogram.ConcurrentHistogram

/**
 * A latency that is measured during a run.
 *
 * @property label its name in the report
 */
enum class LatencyKind(
    val label: String,
) {
    SUBMISSION("submission to 201"),
    POLL("poll to 200"),
    URGENT_START("urgent task: first attempt to submit to start"),
    START("other task: first attempt to submit to start"),
    FINISH_TO_DONE("last task completed to done"),
    CANCEL("cancel to withdrawn"),
    CONFIGURATION_APPLIED("configuration change to durable"),
    CONFIGURATION_IN_FORCE("configuration change to in force everywhere"),
}

/** Number of measurements of one [LatencyKind], and their quantiles in ms. */
@Serializable
data class LatencyFigures(
    val kind: String,
    val count: Long,
    val p50Ms: Long,
    val p90Ms: Long,
    val p99Ms: Long,
    val maxMs: Long,
)

/** Histograms of the latencies, in ms. Values are dropped while [isRecording] is false. Thread-safe. */
class Latencies {
    @Volatile
    var isRecording = false

    private val histograms = LatencyKind.entries.associateWith { ConcurrentHistogram(SIGNIFICANT_DIGITS) }

    fun record(
        kind: LatencyKind,
        ms: Long,
    ) {
        if (isRecording) histograms.getValue(kind).recordValue(maxOf(0L, ms))
    }

    fun figures(): List<LatencyFigures> =
        histograms.filterValues { it.totalCount > 0 }.map { (kind, histogram) ->
            LatencyFigures(
                kind.label,
                histogram.totalCount,
                histogram.getValueAtPercentile(50.0),
                histogram.getValueAtPercentile(90.0),
                histogram.getValueAtPercentile(99.0),
                histogram.maxValue,
            )
        }

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
    }
}
