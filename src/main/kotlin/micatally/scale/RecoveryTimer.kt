package micatally.scale

import kotlinx.serialization.Serializable

/**
 * How soon a run was served again after all controllers had been down; counted from the start of their processes.
 *
 * @property firstAcceptedMs the first submission was accepted
 * @property firstStartMs the first task started on a machine
 */
@Serializable
data class RecoveryFigures(
    val firstAcceptedMs: Long? = null,
    val firstStartMs: Long? = null,
)

/** Takes the times of [RecoveryFigures]. Not safe on several threads at once: its user sees to that. */
class RecoveryTimer(
    private val nowMs: () -> Long,
) {
    private var beganAtMs: Long? = null
    var figures = RecoveryFigures()
        private set

    /** The processes of all controllers start again. */
    fun begin() {
        beganAtMs = nowMs()
        figures = RecoveryFigures()
    }

    fun accepted() {
        val began = beganAtMs ?: return
        if (figures.firstAcceptedMs == null) figures = figures.copy(firstAcceptedMs = nowMs() - began)
    }

    fun started() {
        val began = beganAtMs ?: return
        if (figures.firstStartMs == null) figures = figures.copy(firstStartMs = nowMs() - began)
    }
}
