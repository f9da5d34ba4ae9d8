package micatally.scale

import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import micatally.cli.EventLoop
import micatally.emulator.ControllerPlace
import micatally.emulator.LoopbackFleet
import micatally.http.Client
import micatally.wire.bytes
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random

/**
 * All parts of one scale run: the event loops, the emulators, the controller processes and the load. The constructor
 * starts only the servers of the emulators; the start functions start the rest. [close] ends everything and may be
 * called more than once.
 *
 * Each part has a random generator with its own seed, derived from the scenario's, so that the random numbers of one
 * part don't depend on how many another part draws.
 *
 * @param command command line that starts a controller; the settings file is appended
 */
internal class ScaleEnvironment(
    private val scenario: Scenario,
    command: List<String>,
) : AutoCloseable {
    private val workerLoop = EventLoop("workers")
    private val stateLoop = EventLoop("state")
    private val userLoop = EventLoop("users")

    /** The loops of the workers and the cloud, of the state store and of the users, in this order. */
    val loops = listOf(workerLoop, stateLoop, userLoop)

    /** Temporary directory for the settings files and the logs of the controllers. */
    val directory: Path = Files.createTempDirectory("micatally-scale")
    val latencies = Latencies()
    val messageCounters = MessageCounters()
    private val jobs = JobPlan.of(scenario)
    private val teams = scenario.buildTeams()
    private val userClient = Client(userLoop.group, USER_SOCKETS, userLoop::nowMs)
    private val places = choosePlaces()
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
    val history = RunHistory(jobs, configuration::teamInForce, scenario.cancelMs, latencies, workerLoop::nowMs)
    private val machineTypes = scenario.buildMachineTypes()
    val fleet =
        LoopbackFleet(
            workerLoop,
            stateLoop,
            scenario.buildFleetPlan(machineTypes, teams),
            history,
            messageCounters,
        )
    val controllers =
        places.map { ControllerProcess(it, command + writeSettings(it), directory.resolve("${it.host}.log")) }
    val balancer =
        LoadBalancer(userLoop.scope, userClient, places.map { it.listen }, Random(scenario.seed + 1))
    private val userLoad =
        UserLoad(
            userLoop.scope,
            userClient,
            balancer,
            scenario.users,
            history,
            latencies,
            messageCounters,
            Random(scenario.seed + 2),
            userLoop::nowMs,
        )
    private val failureInjector =
        FailureInjector(
            workerLoop.scope,
            stateLoop.scope,
            fleet,
            controllers,
            Random(scenario.seed + 3),
            (
                scenario.workers.leaseSeconds *
                    1000
            ).toLong(),
        ) {
            history.controllersRestarting()
        }

    /** How often each controller was restarted, in the order of [controllers]. */
    val restarts get() = failureInjector.restarts

    /**
     * Chooses hosts, zones and addresses of the controllers. Each controller has its own loopback address, because
     * thousands of connections would use up the ports of 127.0.0.1.
     */
    private fun choosePlaces(): List<ControllerPlace> {
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

    private fun writeSettings(place: ControllerPlace): String {
        val file = directory.resolve("${place.host}.json")
        Files.write(file, fleet.settings(place, places).bytes())
        return file.toString()
    }

    /**
     * Stores the records of jobs that finished before the run, then starts the controllers, the workers and the health
     * checks of the load balancer.
     */
    fun start() {
        fleet.state.preload(scenario.buildFinishedJobRecords(jobs, places.map { it.host }))
        fleet.controllers = places.associate { it.host to it.listen }
        for (controller in controllers) controller.start()
        startWorkers()
        userLoop.scope.launch { balancer.start() }
    }

    /** Starts the workers of each type, spread evenly over the zones. */
    private fun startWorkers() {
        workerLoop.scope.launch {
            for ((type, machineType) in scenario.workers.types.zip(machineTypes)) {
                for ((zoneIndex, zone) in scenario.zones.withIndex()) {
                    val remainder = if (zoneIndex < type.count % scenario.zones.size) 1 else 0
                    fleet.cloud.addRunning(machineType, zone, false, type.count / scenario.zones.size + remainder)
                }
            }
        }
    }

    /** Starts the users, who submit the planned jobs. */
    fun startUsers() {
        userLoop.scope.launch { userLoad.start(jobs) }
    }

    /** Starts the failures and the configuration changes, which happen only in the measured part of a run. */
    fun startFailuresAndChanges() {
        failureInjector.start(scenario.failures)
        scenario.configuration?.let { plan -> userLoop.scope.launch { configuration.start(plan) } }
    }

    /**
     * Returns what the state store holds, by key prefix. Read on the store's own loop; the calling thread waits for it.
     */
    fun readStoredKeys() =
        runBlocking { withContext(stateLoop.scope.coroutineContext) { fleet.state.storedByPrefix() } }

    /** Ends the load: users submit no more jobs and cancel their services. */
    fun endLoad() {
        userLoad.isEnding = true
    }

    /**
     * Ends the load and kills every controller process. May be called from any thread, also during a run. Deletes
     * [directory] unless a rule was broken. The loops are closed first: the failure injector on them could otherwise
     * restart a controller, which would still run during the next run.
     */
    override fun close() {
        for (loop in loops) loop.close()
        for (controller in controllers) controller.kill()
        if (history.violation == null) directory.toFile().deleteRecursively()
    }

    private companion object {
        const val FRONT_PORT = 8080
        const val BACK_PORT = 8081
        const val USER_SOCKETS = 1500
    }
}
