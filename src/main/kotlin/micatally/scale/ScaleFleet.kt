package micatally.scale

import micatally.emulator.FleetPlan
import micatally.job.Job
import micatally.job.JobRecordCodec
import micatally.job.JobShard
import micatally.job.JobState
import micatally.membership.Keys
import micatally.membership.ShardLeader
import micatally.settings.Team
import micatally.state.StateLimits
import micatally.wire.MachineType
import micatally.wire.Resources

private const val MS_PER_SECOND = 1000.0
private const val BYTES_PER_KB = 1024
private const val LIST_LAG_MS = 2000L
private const val CLOUD_RPS = 12.0
private const val CACHE_GB = 400.0

/**
 * Boot time that the cloud states, in seconds. Controllers derive from it how long they wait before they return or
 * replace machines. A long boot time therefore keeps the number of workers that the run was asked for.
 */
private const val STATED_BOOT_SECONDS = 600.0

/** Connections that the emulators may have in addition to two for each worker. */
private const val EMULATOR_CONNECTIONS = 1000

/** Number in the id of the first job that finished before the run; far above the job numbers of the run itself. */
private const val FIRST_FINISHED_JOB = 500_000_000
private const val TASKS_OF_FINISHED_JOB = 40

/** Worker lease in milliseconds. */
internal val Scenario.leaseMs get() = (workers.leaseSeconds * MS_PER_SECOND).toLong()

/** Time in milliseconds within which the tasks of a cancelled job have to be gone. */
internal val Scenario.cancelMs get() = (workers.cancelSeconds * MS_PER_SECOND).toLong()

/** Builds the teams of the scenario, all with the same quota. */
internal fun Scenario.buildTeams(): List<Team> =
    List(teams.count) { Team(JobPlan.teamName(it), teams.cores, teams.coresMax, teams.gpus, teams.gpusMax) }

/** Builds the machine types in the order of the scenario. Each type is offered in all zones. */
internal fun Scenario.buildMachineTypes(): List<MachineType> =
    workers.types.map {
        MachineType(
            label = it.name,
            resources = Resources(it.cores, it.gpus, it.ramGb),
            cacheGb = CACHE_GB,
            pullGbPerS = it.pullGbPerSecond,
            hourly = it.cores,
            spotHourly = it.cores,
            readyS = STATED_BOOT_SECONDS,
            zones = zones,
        )
    }

/** Builds the plan of the emulated workers, cloud and state store from the scenario. */
internal fun Scenario.buildFleetPlan(
    machineTypes: List<MachineType>,
    teams: List<Team>,
): FleetPlan {
    val limits =
        StateLimits(
            stateService.requestsPerSecond,
            stateService.writesPerSecond,
            (stateService.valueKb * BYTES_PER_KB).toInt(),
            stateService.transactionOperations,
        )
    return FleetPlan(
        zones = zones,
        machineTypes = machineTypes,
        teams = teams,
        machinesOfEachKind = workerCount,
        heartbeatIntervalMs = (workers.reportSeconds * MS_PER_SECOND).toLong(),
        leaseMs = leaseMs,
        cancelMs = cancelMs,
        bootMs = (workers.bootSeconds * MS_PER_SECOND).toLong(),
        listLagMs = LIST_LAG_MS,
        settingsLimits = limits,
        stateLimits = limits,
        cloudRps = CLOUD_RPS,
        maxSockets = controllerSockets,
        maxConnections = workerCount * 2 + EMULATOR_CONNECTIONS,
    )
}

/**
 * Builds the records of jobs that finished before the run, in the form in which controllers store them, by their key in
 * the state store.
 *
 * @param jobs the jobs of the run; the first one's submission stands in for those of the finished jobs and is not
 * stored
 * @param hosts the controllers, whose shards the jobs are assigned to in turn
 */
internal fun Scenario.buildFinishedJobRecords(
    jobs: List<PlannedJob>,
    hosts: List<String>,
) = (0 until storedJobs).associate { index ->
    val leader = ShardLeader(hosts[index % hosts.size], "former", 1, 1)
    val job =
        Job(
            "j-%09d".format(FIRST_FINISHED_JOB + index),
            jobs.first().spec,
            JobShard(leader.host, leader),
            TASKS_OF_FINISHED_JOB,
            0,
            JobState.DONE,
        )
    for (taskIndex in 0 until TASKS_OF_FINISHED_JOB) job.markDone(taskIndex)
    val key = if (archive) Keys.final(job.jobId) else Keys.job(job.jobId)
    key to JobRecordCodec.encode(job)
}
