package micatally.scale

import kotlinx.serialization.Serializable

/**
 * How long recovery took after all controllers had been down, in ms since their processes were started again. Both are
 * null if that did not happen.
 *
 * @property firstAcceptedMs time until the first submission was accepted
 * @property firstStartMs time until the first task started on a machine
 */
@Serializable
data class RecoveryFigures(
    val firstAcceptedMs: Long? = null,
    val firstStartMs: Long? = null,
)

/** Measures the [RecoveryFigures]. Not thread-safe; the caller must synchronize. */
class RecoveryTimer(
    private val nowMs: () -> Long,
) {
    private var startedAtMs: Long? = null
    var figures = RecoveryFigures()
        private set

    /** Starts the measurement anew; called when the processes of all controllers are about to start again. */
    fun begin() {
        startedAtMs = nowMs()
        figures = RecoveryFigures()
    }

    fun submissionAccepted() {
        val startedAt = startedAtMs ?: return
        if (figures.firstAcceptedMs == null) figures = figures.copy(firstAcceptedMs = nowMs() - startedAt)
    }

    fun taskStarted() {
        val startedAt = startedAtMs ?: return
        if (figures.firstStartMs == null) figures = figures.copy(firstStartMs = nowMs() - startedAt)
    }
}
