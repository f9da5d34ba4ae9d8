package micatally.sim

import micatally.emulator.CloudEmulator
import micatally.emulator.RuleChecker
import micatally.emulator.RuleViolation
import micatally.emulator.WorkerEmulator
import micatally.scheduling.Placement
import micatally.wire.JobSpec

/** Checks that no job waits long while an allowed machine has free capacity for it and its team is below its quota. */
class StarvationCheck(
    private val rules: RuleChecker,
    private val cloud: CloudEmulator,
    private val net: SimNet,
) {
    /** Since when each job could have started, in milliseconds of simulated time. */
    private val waitingSince = HashMap<String, Long>()

    /**
     * Throws a [RuleViolation] if a job could have started for more than [maxMs] milliseconds. To be called once a
     * second after all faults are over. It considers the types, zone, spread and spot setting of a job, and nothing
     * else that may keep its tasks from a machine.
     */
    fun check(
        now: Long,
        maxMs: Long = 90_000,
    ) {
        val workers = cloud.workers.filter { isUsable(it) }
        for (jobId in rules.acceptedJobs) {
            if (!couldStart(jobId, workers)) {
                waitingSince.remove(jobId)
                continue
            }
            val waitedMs = now - waitingSince.getOrPut(jobId) { now }
            if (waitedMs > maxMs) {
                throw RuleViolation(
                    "waiting",
                    "$jobId has waited $waitedMs ms although an allowed machine has free capacity",
                )
            }
        }
    }

    /** Whether the machine is reachable, works and will not be taken back. */
    private fun isUsable(worker: WorkerEmulator): Boolean {
        val isReachable = worker.name !in net.inboundBlocked && worker.name !in net.outboundBlocked
        return isReachable && !worker.hung && !worker.sick && worker.spotNoticeS == null
    }

    private fun couldStart(
        jobId: String,
        workers: List<WorkerEmulator>,
    ): Boolean {
        if (rules.isFinal(jobId) || rules.isAskedToCancel(jobId)) return false
        val spec = rules.specs.getValue(jobId)
        val running = rules.running.filter { it.jobId == jobId }
        val completed = rules.completed[jobId].orEmpty()
        val missing = spec.taskCount - running.size - completed.count { task -> running.none { it.taskIndex == task } }
        if (missing <= 0) return false
        if (spec.isGang) return running.isEmpty() && rules.underLimit(spec, spec.taskCount) && fitsGang(spec, workers)
        val zones = running.map { it.zone }
        return rules.underLimit(spec) &&
            workers.any { mayRunOn(spec, it) && mayAddTask(spec, it.zone, zones) && spec.resources.fitsIn(it.free) }
    }

    /** Whether the job allows the machine's type and zone, and spot instances if it is one. */
    private fun mayRunOn(
        spec: JobSpec,
        worker: WorkerEmulator,
    ): Boolean {
        val isTypeAllowed = spec.types?.contains(worker.type) != false
        val isZoneAllowed = spec.zone == null || spec.zone == worker.zone
        return isTypeAllowed && isZoneAllowed && (!worker.isSpot || spec.isSpot)
    }

    /** Whether one more task may start in [zone] while the other tasks of the job run in [zones]. */
    private fun mayAddTask(
        spec: JobSpec,
        zone: String,
        zones: List<String>,
    ): Boolean {
        val keepsTogether = !spec.together || zones.all { it == zone }
        val keepsScattered = !spec.scatter || zones.count { it == zone } < Placement.zoneCap(spec)
        return keepsTogether && keepsScattered
    }

    /** Whether there is free capacity for all tasks of a gang at once, within one zone if the job requires that. */
    private fun fitsGang(
        spec: JobSpec,
        workers: List<WorkerEmulator>,
    ): Boolean {
        val tasksByZone =
            workers.filter { mayRunOn(spec, it) }.groupBy { it.zone }.mapValues { (_, inZone) ->
                minOf(inZone.sumOf { spec.resources.countIn(it.free).toLong() }, Placement.zoneCap(spec).toLong())
            }
        return if (spec.together) {
            tasksByZone.values.any { it >= spec.taskCount }
        } else {
            tasksByZone.values.sum() >= spec.taskCount
        }
    }
}
