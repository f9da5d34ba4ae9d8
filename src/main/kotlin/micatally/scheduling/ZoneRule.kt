package micatally.scheduling

import micatally.wire.JobSpec

/**
 * Decides in which zones another task of a job may start.
 *
 * @property attemptsByZone how many live attempts of the job each zone has; a zone without attempts is absent
 */
class ZoneRule(
    private val spec: JobSpec,
    val attemptsByZone: Map<String, Int>,
) {
    /** Whether another task may start in the zone. */
    fun allows(zone: String): Boolean {
        if (spec.zone != null && spec.zone != zone) return false
        if (spec.together && attemptsByZone.isNotEmpty() && zone !in attemptsByZone) return false
        return !spec.scatter || attemptsIn(zone) < Placement.zoneCap(spec)
    }

    /** How many live attempts of the job are in the zone. */
    fun attemptsIn(zone: String): Int = attemptsByZone[zone] ?: 0

    /** How many more tasks the zone may take. For a job that need not be scattered this is the job's task count. */
    fun remainingIn(zone: String): Int =
        if (spec.scatter) Placement.zoneCap(spec) - attemptsIn(zone) else spec.taskCount
}
