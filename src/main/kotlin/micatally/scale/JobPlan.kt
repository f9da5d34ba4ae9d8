package micatally.scale

import micatally.wire.Format
import micatally.wire.JobSpec
import micatally.wire.JobSubmission
import micatally.wire.Resources
import kotlin.random.Random

/**
 * A job that a user will submit.
 *
 * @property runMs of its tasks on average; null: until they are stopped
 * @property atMs when, from the beginning of the load
 * @property cancelAfterMs when its user cancels it, from its submission; null: not before the end of the run
 */
class PlannedJob(
    val spec: JobSpec,
    private val runMs: Long?,
    private val runSpread: Double,
    val atMs: Long,
    val isUrgent: Boolean,
    val cancelAfterMs: Long?,
) {
    /** How long a task runs, the same each time it is asked; null: until it is stopped. */
    fun runMs(taskIndex: Int): Long? {
        val average = runMs ?: return null
        val random = Random(spec.jobId.hashCode() * TASKS_APART + taskIndex)
        return (average * (1 + runSpread * random.nextDouble(-1.0, 1.0))).toLong()
    }

    private companion object {
        const val TASKS_APART = 1_000_003
    }
}

/** The load of a scenario, in the order of submission. Depends on the scenario alone. */
object JobPlan {
    fun of(scenario: Scenario): List<PlannedJob> {
        val random = Random(scenario.seed)
        val endMs = (scenario.warmupSeconds + scenario.seconds) * MS
        val arrivals = ArrayList<Pair<Long, JobClassPlan>>()
        for (jobs in scenario.jobs) {
            val startSpreadMs = scenario.warmupSeconds * MS / 2
            repeat(jobs.atStart) { arrivals.add(random.nextLong(startSpreadMs + 1) to jobs) }
            if (jobs.perSecond <= 0) continue
            // Independent users: the times between arrivals are distributed exponentially.
            var atMs = exponentialMs(random, jobs.perSecond)
            while (atMs < endMs) {
                arrivals.add(atMs to jobs)
                atMs += exponentialMs(random, jobs.perSecond)
            }
        }
        return arrivals.sortedBy { it.first }.mapIndexed { i, (atMs, jobs) ->
            plan(i + 1, atMs, jobs, scenario.teams.count, random)
        }
    }

    fun teamName(index: Int) = "team-%03d".format(index)

    private fun exponentialMs(
        random: Random,
        perSecond: Double,
    ): Long = (-Math.log(1 - random.nextDouble()) / perSecond * MS).toLong()

    private fun plan(
        number: Int,
        atMs: Long,
        jobs: JobClassPlan,
        teams: Int,
        random: Random,
    ): PlannedJob {
        val team = teamName(random.nextInt(teams))
        val image = "${jobs.name}-${random.nextInt(jobs.images)}"
        val isCancelled = jobs.cancelAfterSeconds != null && random.nextDouble() < jobs.cancelShare
        return PlannedJob(
            spec = JobSpec.parse(submission(number, jobs, team, image).encode()),
            runMs = if (jobs.format == Format.SERVICE.word) null else (jobs.runSeconds * MS).toLong(),
            runSpread = jobs.runSpread,
            atMs = atMs,
            isUrgent = jobs.urgent,
            cancelAfterMs = if (isCancelled) (jobs.cancelAfterSeconds * MS).toLong() else null,
        )
    }

    private fun submission(
        number: Int,
        jobs: JobClassPlan,
        team: String,
        image: String,
    ) = JobSubmission(
        jobId = "j-%06d".format(number),
        jobClass = jobs.name,
        team = team,
        format = jobs.format,
        priority = jobs.priority,
        taskCount = jobs.tasks,
        resources = Resources(jobs.cores, jobs.gpus, jobs.ramGb),
        image = image,
        imageGb = jobs.imageGb,
        scatter = jobs.spreadOverZones && jobs.tasks > 1,
        estimateS = jobs.runSeconds,
    )

    private const val MS = 1000L
}
