package micatally.scheduling

import micatally.wire.JobSpec
import micatally.wire.Resources

/**
 * Remembers which task shapes could not be placed in the current scheduling cycle.
 *
 * Free capacity only shrinks within a cycle. So once a shape has found no machine, the cycle need not search the
 * machines for this shape again. With hundreds of machines and pending jobs, repeated searches would take all of the
 * CPU.
 */
class CapacityMisses(
    private val allZones: List<String>,
) {
    /** The properties of a pending task that decide which machines it may use and which tasks it may preempt. */
    private data class TaskShape(
        val resources: Resources,
        val types: Set<String>?,
        val zones: List<String>,
        val isSpot: Boolean,
        val isService: Boolean,
        val priority: Int,
    )

    /** A shape of tasks that wait in a priority queue. */
    private data class QueuedShape(
        val shape: TaskShape,
        val queue: Int,
    )

    private val withoutCapacity = HashSet<TaskShape>()
    private val withoutVictims = HashSet<QueuedShape>()

    /** Removes all entries. Called at the start of each cycle. */
    fun clear() {
        withoutCapacity.clear()
        withoutVictims.clear()
    }

    /** Records that no machine has free capacity for a task of this job. */
    fun addWithoutCapacity(
        spec: JobSpec,
        zoneRule: ZoneRule,
    ) {
        withoutCapacity.add(shapeOf(spec, zoneRule))
    }

    /** Whether a task of the same shape has found no free capacity in this cycle. */
    fun isWithoutCapacity(
        spec: JobSpec,
        zoneRule: ZoneRule,
    ): Boolean = shapeOf(spec, zoneRule) in withoutCapacity

    /** Records that preemption can't free capacity for a task of this job that waits in [queue]. */
    fun addWithoutVictims(
        spec: JobSpec,
        zoneRule: ZoneRule,
        queue: Int,
    ) {
        withoutVictims.add(QueuedShape(shapeOf(spec, zoneRule), queue))
    }

    /** Whether preemption could not free capacity for a task of the same shape and queue in this cycle. */
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
