package micatally.scale

import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import micatally.cli.Loop
import micatally.emulator.ControllerPlace
import micatally.emulator.FleetPlan
import micatally.emulator.LoopbackFleet
import micatally.http.Client
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
import micatally.wire.bytes
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random

/** A run that could not be carried through; not a broken rule. */
class RunFailed(
    message: String,
) : Exception(message)

/** How a run is told to its user: a line every few seconds. */
fun interface ProgressLog {
    fun line(text: String)
}

/**
 * One scale run: controllers as processes of the packaged program, everything else as emulators in this process, on
 * loopback only. Every process it starts is ended by [close].
 *
 * @param command starts a controller; the settings file is appended
 */
class ScaleRun(
    private val name: String,
    private val scenario: Scenario,
    private val command: List<String>,
    private val progress: ProgressLog,
) : AutoCloseable {
    private val workerLoop = Loop("workers")
    private val stateLoop = Loop("state")
    private val userLoop = Loop("users")
    private val loops = listOf(workerLoop, stateLoop, userLoop)
    private val directory = Files.createTempDirectory("micatally-scale")
    private val latencies = Latencies()
    private val traffic = MessageCounters()
    private val jobs = JobPlan.of(scenario)
    private val teams =
        List(scenario.teams.count) {
            val plan = scenario.teams
            Team(JobPlan.teamName(it), plan.cores, plan.coresMax, plan.gpus, plan.gpusMax)
        }
    private val cancelMs = (scenario.workers.cancelSeconds * MS).toLong()
    private val leaseMs = (scenario.workers.leaseSeconds * MS).toLong()
    private val userClient = Client(userLoop.group, USER_SOCKETS, userLoop::nowMs)
    private val places = places()
    private val configuration =
        ConfigurationLoad(
            userLoop.scope,
            userClient,
            places.map { it.back },
            teams,
            latencies,
            Random(scenario.seed + 4),
            userLoop::nowMs,
        )
    private val history = RunHistory(jobs, configuration::teamInForce, cancelMs, latencies, workerLoop::nowMs)
    private val machineTypes =
        scenario.workers.types.map {
            MachineType(
                label = it.name,
                resources = Resources(it.cores, it.gpus, it.ramGb),
                cacheGb = CACHE_GB,
                pullGbPerS = it.pullGbPerSecond,
                hourly = it.cores,
                spotHourly = it.cores,
                readyS = STATED_BOOT_SECONDS,
                zones = scenario.zones,
            )
        }
    private val fleet = LoopbackFleet(workerLoop, stateLoop, fleetPlan(), history, traffic)
    private val controllers =
        places.map { ControllerProcess(it, command + settingsFile(it), directory.resolve("${it.host}.log")) }
    private val balancer =
        LoadBalancer(userLoop.scope, userClient, places.map { it.listen }, Random(scenario.seed + 1))
    private val users =
        Users(
            userLoop.scope,
            userClient,
            balancer,
            scenario.users,
            history,
            latencies,
            traffic,
            Random(scenario.seed + 2),
            userLoop::nowMs,
        )
    private val failures =
        Failures(workerLoop.scope, stateLoop.scope, fleet, controllers, Random(scenario.seed + 3)) {
            history.controllersReturn()
        }

    /** What broke a rule, if anything did. */
    val violation get() = history.violation

    private fun fleetPlan(): FleetPlan {
        val state = scenario.stateService
        val limits =
            StateLimits(
                state.requestsPerSecond,
                state.writesPerSecond,
                (state.valueKb * 1024).toInt(),
                state.transactionOperations,
            )
        return FleetPlan(
            zones = scenario.zones,
            machineTypes = machineTypes,
            teams = teams,
            machinesOfEachKind = scenario.workerCount,
            heartbeatIntervalMs = (scenario.workers.reportSeconds * MS).toLong(),
            leaseMs = leaseMs,
            cancelMs = cancelMs,
            bootMs = (scenario.workers.bootSeconds * MS).toLong(),
            listLagMs = LIST_LAG_MS,
            settingsLimits = limits,
            stateLimits = limits,
            cloudRps = CLOUD_RPS,
            maxSockets = scenario.controllerSockets,
            maxConnections = scenario.workerCount * 2 + STANDIN_CONNECTIONS,
        )
    }

    /** Each controller has a loopback address of its own: ports of 127.0.0.1 go to thousands of connections meanwhile. */
    private fun places(): List<ControllerPlace> {
        val network = "127.${Random.nextInt(1, 255)}.${Random.nextInt(1, 255)}"
        return List(scenario.controllers) {
            ControllerPlace(
                host = "controller-%02d".format(it),
                zone = scenario.zones[it % scenario.zones.size],
                listen = "$network.${it + 1}:$FRONT_PORT",
                back = "$network.${it + 1}:$BACK_PORT",
            )
        }
    }

    private fun settingsFile(place: ControllerPlace): String {
        val file = directory.resolve("${place.host}.json")
        Files.write(file, fleet.settings(place, places).bytes())
        return file.toString()
    }

    /** Records of jobs that were done days ago, as controllers leave them. */
    private fun storeFormerJobs() {
        val taskCount = 40
        val records =
            (0 until scenario.storedJobs).associate { i ->
                val spec = jobs.first().spec
                val leader = ShardLeader(places[i % places.size].host, "former", 1, 1)
                val job =
                    Job(
                        "j-%09d".format(FORMER_JOBS + i),
                        spec,
                        JobShard(leader.host, leader),
                        taskCount,
                        0,
                        JobState.DONE,
                    )
                for (task in 0 until taskCount) job.markDone(task)
                (if (scenario.archive) Keys.final(job.jobId) else Keys.job(job.jobId)) to JobRecordCodec.encode(job)
            }
        fleet.state.preload(records)
    }

    /** Runs the scenario to its end, or to the first broken rule. */
    fun run(): ScaleReport {
        storeFormerJobs()
        fleet.controllers = places.associate { it.host to it.listen }
        for (controller in controllers) controller.start()
        startWorkers()
        userLoop.scope.launch { balancer.start() }
        awaitHealthy()
        userLoop.scope.launch { users.start(jobs) }
        val measurement = Measurement(loops, fleet, controllers, history, traffic, latencies, leaseMs)
        pass("warm-up", scenario.warmupSeconds)
        measurement.begin()
        failures.start(scenario.failures)
        scenario.configuration?.let { plan -> userLoop.scope.launch { configuration.start(plan) } }
        pass("measured", scenario.seconds)
        val stored = runBlocking { withContext(stateLoop.scope.coroutineContext) { fleet.state.storedByPrefix() } }
        val report = measurement.end(origin(), failures.restarts, stored)
        users.isEnding = true
        drain()
        return report.copy(
            load =
                report.load.copy(
                    jobsNotEnded = history.openJobs.size,
                    brokenRule = violation?.violation?.message,
                ),
        )
    }

    private fun origin() =
        RunOrigin(name, scenario.seed, scenario.workerCount, scenario.controllers, scenario.teams.count, 0.0)

    private fun startWorkers() {
        workerLoop.scope.launch {
            for ((type, machineType) in scenario.workers.types.zip(machineTypes)) {
                for ((i, zone) in scenario.zones.withIndex()) {
                    val share = type.count / scenario.zones.size + if (i < type.count % scenario.zones.size) 1 else 0
                    fleet.cloud.addRunning(machineType, zone, false, share)
                }
            }
        }
    }

    private fun awaitHealthy() {
        val untilNs = System.nanoTime() + HEALTHY_SECONDS * NS
        while (balancer.healthyCount < controllers.size) {
            controllers.find { !it.isAlive }?.let { throw RunFailed("${it.place.host} has ended; see $directory") }
            if (System.nanoTime() > untilNs) {
                val healthy = "${balancer.healthyCount} of ${controllers.size} controllers"
                throw RunFailed("only $healthy are healthy after $HEALTHY_SECONDS s")
            }
            Thread.sleep(STEP_MS)
        }
    }

    /** Lets the load go on for so long, with a line every few seconds. */
    private fun pass(
        phase: String,
        seconds: Int,
    ) {
        watch(seconds, { true }) { left ->
            "$phase, $left s left: ${fleet.cloud.count()} workers, ${balancer.healthyCount} of " +
                "${controllers.size} controllers healthy, ${history.acceptedCount} jobs accepted, " +
                "${history.tasksRunning} tasks running, ${history.starts} starts"
        }
    }

    /** Waits until what was accepted has ended. */
    private fun drain() {
        watch(scenario.drainSeconds, { history.openJobs.isNotEmpty() }) {
            "ending: ${history.openJobs.size} jobs are left, ${history.tasksRunning} tasks running"
        }
        if (violation == null) history.checkAllEnded()
    }

    /** Checks the rules for so long, or until one is broken or [goesOn] is false; [line] gets the seconds that are left. */
    private fun watch(
        seconds: Int,
        goesOn: () -> Boolean,
        line: (left: Long) -> String,
    ) {
        val untilNs = System.nanoTime() + seconds * NS
        var nextLineNs = 0L
        while (System.nanoTime() < untilNs && violation == null && goesOn()) {
            Thread.sleep(STEP_MS)
            history.check()
            if (System.nanoTime() < nextLineNs) continue
            nextLineNs = System.nanoTime() + LINE_SECONDS * NS
            progress.line(line((untilNs - System.nanoTime()) / NS))
        }
    }

    /** Ends the load and every controller, by its own id; may be called from any thread, also while the run goes on. The
     * loops go first: they carry failures that start controllers again, and the fleet would go on beside the next run. */
    override fun close() {
        for (loop in loops) loop.close()
        for (controller in controllers) controller.kill()
        if (violation == null) directory.toFile().deleteRecursively()
    }

    /** Where the controllers' logs are kept after a broken rule. */
    val logDirectory: Path get() = directory

    private companion object {
        const val MS = 1000.0
        const val NS = 1_000_000_000L
        const val STEP_MS = 250L
        const val LINE_SECONDS = 5L
        const val HEALTHY_SECONDS = 60L

        /** Jobs of earlier days have numbers of their own. */
        const val FORMER_JOBS = 500_000_000
        const val FRONT_PORT = 8080
        const val BACK_PORT = 8081
        const val LIST_LAG_MS = 2000L
        const val CLOUD_RPS = 12.0
        const val CACHE_GB = 400.0

        /** What the cloud states; it paces the return of machines, so that a run keeps the workers it was asked for. */
        const val STATED_BOOT_SECONDS = 600.0
        const val USER_SOCKETS = 1500
        const val STANDIN_CONNECTIONS = 1000
    }
}
