package micatally.scale

import micatally.wire.Format
import micatally.wire.JobSpec
import micatally.wire.JobSubmission
import micatally.wire.Resources
import kotlin.random.Random

/**
 * A job that a user will submit.
 *
 * @param runMs mean run time of its tasks in ms; null if they run until they are stopped
 * @param runSpread maximum deviation of a task's run time from [runMs], as a fraction of it
 * @property atMs time of the submission in ms since the start of the load
 * @property isUrgent whether the start latencies of its tasks are measured separately
 * @property cancelAfterMs time in ms from submission to cancellation by its user; null if it is not cancelled during
 * the run
 */
class PlannedJob(
    val spec: JobSpec,
    private val runMs: Long?,
    private val runSpread: Double,
    val atMs: Long,
    val isUrgent: Boolean,
    val cancelAfterMs: Long?,
) {
    /** Returns the run time of a task in ms, the same on every call; null if the task runs until it is stopped. */
    fun runMs(taskIndex: Int): Long? {
        val average = runMs ?: return null
        val random = Random(spec.jobId.hashCode() * JOB_SEED_FACTOR + taskIndex)
        return (average * (1 + runSpread * random.nextDouble(-1.0, 1.0))).toLong()
    }

    private companion object {
        /** Keeps the random seeds of the tasks of different jobs apart; larger than any task index. */
        const val JOB_SEED_FACTOR = 1_000_003
    }
}

/** Generates the jobs of a scenario. The result depends on the scenario alone, including its seed. */
object JobPlan {
    /** Returns all jobs of the scenario in the order of submission. */
    fun of(scenario: Scenario): List<PlannedJob> {
        val random = Random(scenario.seed)
        val endMs = (scenario.warmupSeconds + scenario.seconds) * MS_PER_S
        val arrivals = ArrayList<Pair<Long, JobClassPlan>>()
        for (jobClass in scenario.jobs) {
            val startSpreadMs = scenario.warmupSeconds * MS_PER_S / 2
            repeat(jobClass.atStart) { arrivals.add(random.nextLong(startSpreadMs + 1) to jobClass) }
            if (jobClass.perSecond <= 0) continue
            // Users act independently of each other, so the times between arrivals are exponentially distributed.
            var atMs = exponentialMs(random, jobClass.perSecond)
            while (atMs < endMs) {
                arrivals.add(atMs to jobClass)
                atMs += exponentialMs(random, jobClass.perSecond)
            }
        }
        return arrivals.sortedBy { it.first }.mapIndexed { i, (atMs, jobClass) ->
            plannedJob(i + 1, atMs, jobClass, scenario.teams.count, random)
        }
    }

    fun teamName(index: Int) = "team-%03d".format(index)

    private fun exponentialMs(
        random: Random,
        perSecond: Double,
    ): Long = (-Math.log(1 - random.nextDouble()) / perSecond * MS_PER_S).toLong()

    private fun plannedJob(
        number: Int,
        atMs: Long,
        jobClass: JobClassPlan,
        teams: Int,
        random: Random,
    ): PlannedJob {
        val team = teamName(random.nextInt(teams))
        val image = "${jobClass.name}-${random.nextInt(jobClass.images)}"
        val isCancelled = jobClass.cancelAfterSeconds != null && random.nextDouble() < jobClass.cancelShare
        return PlannedJob(
            spec = JobSpec.parse(submission(number, jobClass, team, image).encode()),
            runMs = if (jobClass.format == Format.SERVICE.word) null else (jobClass.runSeconds * MS_PER_S).toLong(),
            runSpread = jobClass.runSpread,
            atMs = atMs,
            isUrgent = jobClass.urgent,
            cancelAfterMs = if (isCancelled) (jobClass.cancelAfterSeconds * MS_PER_S).toLong() else null,
        )
    }

    private fun submission(
        number: Int,
        jobClass: JobClassPlan,
        team: String,
        image: String,
    ) = JobSubmission(
        jobId = "j-%06d".format(number),
        jobClass = jobClass.name,
        team = team,
        format = jobClass.format,
        priority = jobClass.priority,
        taskCount = jobClass.tasks,
        resources = Resources(jobClass.cores, jobClass.gpus, jobClass.ramGb),
        image = image,
        imageGb = jobClass.imageGb,
        scatter = jobClass.spreadOverZones && jobClass.tasks > 1,
        estimateS = jobClass.runSeconds,
    )

    private const val MS_PER_S = 1000L
}
