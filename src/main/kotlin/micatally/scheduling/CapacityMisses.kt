package micatally.scheduling

import micatally.wire.JobSpec
import micatally.wire.Resources

/**
 * Remembers, within one scheduling cycle, which task shapes could not be placed.
 *
 * Within a cycle free capacity only shrinks, so a shape that found none need not be searched for again. With hundreds of
 * machines and pending jobs that search would otherwise take all of the CPU.
 */
class CapacityMisses(
    private val allZones: List<String>,
) {
    /** Everything about a pending task that decides which machines it fits on. */
    private data class TaskShape(
        val resources: Resources,
        val types: Set<String>?,
        val zones: List<String>,
        val isSpot: Boolean,
        val isService: Boolean,
        val priority: Int,
    )

    private data class QueuedShape(
        val shape: TaskShape,
        val queue: Int,
    )

    private val withoutCapacity = HashSet<TaskShape>()
    private val withoutVictims = HashSet<QueuedShape>()

    /** Forgets everything; called at the start of each cycle. */
    fun clear() {
        withoutCapacity.clear()
        withoutVictims.clear()
    }

    /** Notes that no machine has free capacity for a task like this one. */
    fun addWithoutCapacity(
        spec: JobSpec,
        zoneRule: ZoneRule,
    ) {
        withoutCapacity.add(shapeOf(spec, zoneRule))
    }

    fun isWithoutCapacity(
        spec: JobSpec,
        zoneRule: ZoneRule,
    ): Boolean = shapeOf(spec, zoneRule) in withoutCapacity

    /** Notes that preemption can't free capacity for a task like this one that waits in [queue]. */
    fun addWithoutVictims(
        spec: JobSpec,
        zoneRule: ZoneRule,
        queue: Int,
    ) {
        withoutVictims.add(QueuedShape(shapeOf(spec, zoneRule), queue))
    }

    fun isWithoutVictims(
        spec: JobSpec,
        zoneRule: ZoneRule,
        queue: Int,
    ): Boolean = QueuedShape(shapeOf(spec, zoneRule), queue) in withoutVictims

    private fun shapeOf(
        spec: JobSpec,
        zoneRule: ZoneRule,
    ) = TaskShape(
        spec.resources,
        spec.types,
        allZones.filter { zoneRule.allows(it) },
        spec.isSpot,
        spec.isService,
        spec.priority.ordinal,
    )
}
