package micatally.resilience

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import micatally.cli.EventLoop
import micatally.emulator.ControllerPlace
import micatally.emulator.FleetPlan
import micatally.emulator.FleetTasks
import micatally.emulator.LoopbackFleet
import micatally.emulator.Rehearsal
import micatally.emulator.WorkerEmulator
import micatally.http.Client
import micatally.http.Outcome
import micatally.scale.ControllerProcess
import micatally.scale.Deployment
import micatally.settings.Team
import micatally.state.StateLimits
import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.Resources
import micatally.wire.bytes
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

/**
 * A controller that runs as a process of its own with the Java options of `deploy/service.toml`, on emulators in this
 * process. It has accepted [EARLIER_JOB] before a test begins.
 */
class DeployedController : AutoCloseable {
    private val loop = EventLoop("emulators")
    private val folder = Files.createTempDirectory("deployed-controller")
    private val logFile = folder.resolve("log")
    private val earlierJob = Rehearsal.job(1, "daemon", 1)
    private val fleet = LoopbackFleet(loop, loop, plan(), tasks(JobSpec.parse(earlierJob)))
    private val client = Client(loop.group, 20, loop::nowMs)
    private lateinit var place: ControllerPlace
    private lateinit var process: ControllerProcess

    /** Port of the address for users and workers. */
    val userPort get() = portOf(place.listen)

    /** Port of the address for other controllers. */
    val peerPort get() = portOf(place.back)

    /** Whether the process runs. */
    val isAlive get() = process.isAlive

    /** What the controller has logged since its start. */
    val log: String get() = Files.readString(logFile)

    init {
        start()
    }

    private fun start() {
        place = ControllerPlace("pitbox-0", ZONE, "127.0.0.1:${freePort()}", "127.0.0.1:${freePort()}")
        fleet.controllers = mapOf(place.host to place.listen)
        val settingsFile = folder.resolve("settings.json")
        Files.write(settingsFile, fleet.settings(place).bytes())
        process = ControllerProcess(place, command() + settingsFile.toString(), logFile)
        process.start()
        check(
            awaitStatus(START_MS, setOf(OK)) { call(userPort, "GET", "/healthz") },
        ) { "the controller did not start: $log" }
        check(awaitStatus(START_MS, setOf(OK, CREATED)) { call(userPort, "POST", "/work", earlierJob.bytes()) }) { log }
    }

    /** Replaces a controller that does not serve any more, so that the next test judges its own input alone. */
    fun restartUnlessServing() {
        if (isServing()) return
        process.kill()
        start()
    }

    /** Whether `/healthz` and a question about the earlier job are answered with 200 within [ANSWER_MS]. */
    fun isServing(): Boolean =
        call(userPort, "GET", "/healthz") == OK && call(userPort, "GET", "/work/$EARLIER_JOB") == OK

    /** Whether the address for other controllers answers a request within [ANSWER_MS]. */
    fun isAnsweringPeers(): Boolean = call(peerPort, "GET", "/") != NO_ANSWER

    /** Sends a request on a new connection. Returns the status of the answer, or [NO_ANSWER]. */
    fun call(
        port: Int,
        method: String,
        target: String,
        body: ByteArray? = null,
    ): Int =
        runBlocking {
            withContext(loop.scope.coroutineContext) {
                val outcome = client.call("127.0.0.1:$port", method, target, body, ANSWER_MS)
                if (outcome is Outcome.Answer) outcome.status else NO_ANSWER
            }
        }

    private fun awaitStatus(
        limitMs: Long,
        statuses: Set<Int>,
        ask: () -> Int,
    ): Boolean =
        runBlocking {
            withTimeoutOrNull(limitMs) {
                while (ask() !in statuses) delay(POLL_MS)
                true
            } ?: false
        }

    /** A valid submission of a job that no test has submitted yet. */
    fun nextJob(): JsonObject = Rehearsal.job(++lastJob, "sweep", 1)

    private var lastJob = 1

    override fun close() {
        process.kill()
        loop.close()
        folder.toFile().deleteRecursively()
    }

    /** Limits and answers of the controller. */
    companion object {
        const val EARLIER_JOB = "j-000001"

        /** The status that stands for no answer in time. */
        const val NO_ANSWER = 0

        /** Users wait this long for the answer to a question. */
        const val ANSWER_MS = 2000L
        private const val OK = 200
        private const val CREATED = 201
        private const val START_MS = 30_000L
        private const val POLL_MS = 50L
        private const val TASK_MS = 200L
        private const val ZONE = "a"
        private const val MAX_SOCKETS = 600

        private fun portOf(addr: String) = addr.substringAfter(':').toInt()

        private fun freePort() = ServerSocket(0).use { it.localPort }

        /** The deploy file's command with the classes of this test run in place of the package. */
        private fun command(): List<String> {
            val deployed = Deployment.command(Path.of("deploy/service.toml"))
            val options = deployed.drop(1).takeWhile { it != "-jar" }.filterNot { "Share" in it }
            val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            return listOf(java) + options + listOf("-cp", classPath, "micatally.cli.MainKt", "--config")
        }

        private fun plan() =
            FleetPlan(
                zones = listOf(ZONE),
                machineTypes =
                    listOf(MachineType("small", Resources(8.0, 0.0, 32.0), 40.0, 10.0, 1.0, 0.3, 1.0, listOf(ZONE))),
                teams = listOf(Team("vision", 50.0, 200.0, 0.0, 0.0)),
                machinesOfEachKind = 4,
                heartbeatIntervalMs = 400,
                leaseMs = 4000,
                cancelMs = 16_000,
                bootMs = 300,
                listLagMs = 500,
                settingsLimits = StateLimits(250.0, 100.0, 16 * 1024, 48),
                stateLimits = null,
                cloudRps = 5.0,
                maxSockets = MAX_SOCKETS,
                maxConnections = 200,
            )

        /** The earlier job runs until the end; the task of any other one takes [TASK_MS]. */
        private fun tasks(earlier: JobSpec) =
            object : FleetTasks {
                override fun spec(jobId: String): JobSpec {
                    if (jobId == earlier.jobId) return earlier
                    return JobSpec.parse(JsonObject(earlier.source + ("ref" to JsonPrimitive(jobId))))
                }

                override fun runMs(
                    jobId: String,
                    taskIndex: Int,
                ): Long? = TASK_MS.takeIf { jobId != earlier.jobId }

                override fun started(
                    machine: WorkerEmulator,
                    jobId: String,
                    taskIndex: Int,
                ) = Unit

                override fun left(
                    machine: WorkerEmulator,
                    jobId: String,
                    taskIndex: Int,
                    done: Boolean,
                ) = Unit
            }
    }
}
