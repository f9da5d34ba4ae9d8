package micatally.scheduling

import micatally.wire.JobSpec

/**
 * The zones in which a further task of a job may start.
 *
 * @property attemptsByZone how many live attempts of the job each zone has; a zone without any is absent
 */
class ZoneRule(
    private val spec: JobSpec,
    val attemptsByZone: Map<String, Int>,
) {
    fun allows(zone: String): Boolean {
        if (spec.zone != null && spec.zone != zone) return false
        if (spec.together && attemptsByZone.isNotEmpty() && zone !in attemptsByZone) return false
        return !spec.scatter || attemptsIn(zone) < Placement.zoneCap(spec)
    }

    fun attemptsIn(zone: String): Int = attemptsByZone[zone] ?: 0

    /** How many more tasks the zone may take; for a job that need not be scattered, all of them. */
    fun remainingIn(zone: String): Int =
        if (spec.scatter) Placement.zoneCap(spec) - attemptsIn(zone) else spec.taskCount
}
