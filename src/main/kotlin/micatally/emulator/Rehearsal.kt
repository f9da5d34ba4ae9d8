package micatally.emulator

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.cli.AddressTaken
import micatally.cli.EventLoop
import micatally.cli.startController
import micatally.http.Client
import micatally.http.Outcome
import micatally.settings.Settings
import micatally.settings.Team
import micatally.state.StateLimits
import micatally.wire.JobSpec
import micatally.wire.MachineType
import micatally.wire.Resources
import micatally.wire.bytes
import micatally.wire.parseObject
import micatally.wire.textOrNull
import java.net.ServerSocket

/** Jobs of the rehearsal. Tasks of arrays and gangs run for [TASK_MS]; those of services run until they are stopped. */
private class RehearsalTasks : FleetTasks {
    private val specs = HashMap<String, JobSpec>()

    fun add(spec: JobSpec) {
        specs[spec.jobId] = spec
    }

    override fun spec(jobId: String) = specs[jobId]

    override fun runMs(
        jobId: String,
        taskIndex: Int,
    ) = if (specs[jobId]?.isService == true) null else TASK_MS

    override fun started(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
    ) {}

    override fun left(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
        done: Boolean,
    ) {}

    private companion object {
        const val TASK_MS = 400L
    }
}

/**
 * Runs one controller against emulators for a few seconds. The build runs it to record the class archive (AppCDS), so
 * that the archive holds the classes that a controller needs in its first minute.
 */
object Rehearsal {
    private const val HOST = "pitbox-0"
    private val ZONES = listOf("a", "b")

    private fun plan(): FleetPlan {
        val limits = StateLimits(250.0, 100.0, 16 * 1024, 48)
        return FleetPlan(
            zones = ZONES,
            machineTypes =
                listOf(
                    MachineType("small", Resources(8.0, 0.0, 32.0), 40.0, 10.0, 1.0, 0.3, 1.0, ZONES),
                    MachineType("g8", Resources(96.0, 8.0, 768.0), 400.0, 100.0, 30.0, 8.0, 1.0, ZONES),
                ),
            teams = listOf(Team("vision", 50.0, 200.0, 0.0, 0.0)),
            machinesOfEachKind = 20,
            heartbeatIntervalMs = 400,
            leaseMs = 4000,
            cancelMs = 16_000,
            bootMs = 300,
            listLagMs = 500,
            settingsLimits = limits,
            stateLimits = null,
            cloudRps = 5.0,
            maxSockets = 300,
            maxConnections = 200,
        )
    }

    /** A submission as a user sends it, with the id `j-` and [n] in six digits. */
    fun job(
        n: Int,
        format: String,
        taskCount: Int,
    ) = buildJsonObject {
        put("ref", "j-%06d".format(n))
        put("lane", "l")
        put("crew", "vision")
        put("format", format)
        put("grid", "high")
        put("laps", taskCount)
        put("cores", 2.0)
        put("cards", 0.0)
        put("ram_gb", 2.0)
        put("livery", "img")
        put("size_gb", 1.0)
        put("chassis", JsonNull)
        put("circuit", JsonNull)
        put("together", false)
        put("scatter", taskCount > 1)
        put("loaners", format == "sweep")
        put("lap_time_s", 1.0)
        put("sector_s", 0.0)
        put("pit_stop_s", 0.0)
        put("flag_s", 60.0)
    }

    private const val GANG_JOB_NUMBER = 13

    private fun freePort() = ServerSocket(0).use { it.localPort }

    /**
     * Returns whether all jobs were accepted, ran, and were done or cancelled as they should be, within 20 seconds.
     */
    suspend fun run(): Boolean {
        val loop = EventLoop()
        val tasks = RehearsalTasks()
        val fleet = LoopbackFleet(loop, loop, plan(), tasks)
        lateinit var settings: Settings
        for (attempt in 1..5) {
            val place = ControllerPlace(HOST, ZONES[0], "127.0.0.1:${freePort()}", "127.0.0.1:${freePort()}")
            settings = Settings.parse(fleet.settings(place).bytes())
            // Another process may take a port between the moment it was found free and the start of the controller.
            try {
                startController(EventLoop(), settings)
                break
            } catch (e: AddressTaken) {
                if (attempt == 5) {
                    throw e
                }
            }
        }
        fleet.controllers = mapOf(HOST to settings.listen)
        val client = Client(loop.group, 20, loop::nowMs)

        suspend fun call(
            method: String,
            target: String,
            body: kotlinx.serialization.json.JsonObject?,
        ): Pair<Int, String?> {
            val outcome = client.call(settings.listen, method, target, body?.bytes(), 3000)
            return if (outcome is Outcome.Answer) {
                outcome.status to
                    (
                        try {
                            parseObject(outcome.body).textOrNull("status")
                        } catch (e: Exception) {
                            null
                        }
                    )
            } else {
                0 to null
            }
        }
        return kotlinx.coroutines.withContext(loop.scope.coroutineContext) {
            withTimeoutOrNull(20_000) {
                while (call("GET", "/healthz", null).first != 200) delay(50)
                for (n in 1..12) {
                    val body = job(n, if (n % 3 == 0) "daemon" else "sweep", n)
                    tasks.add(JobSpec.parse(body))
                    while (call("POST", "/work", body).first !in 200..201) delay(50)
                }
                for (n in 1..12) {
                    while (true) {
                        val status = call("GET", "/work/j-%06d".format(n), null).second
                        if (status == "done" || n % 3 == 0 && status == "running") break
                        delay(100)
                    }
                }
                val gang =
                    JsonObject(
                        job(
                            GANG_JOB_NUMBER,
                            "gang",
                            4,
                        ) + mapOf("together" to JsonPrimitive(true), "scatter" to JsonPrimitive(false)),
                    )
                tasks.add(JobSpec.parse(gang))
                while (call("POST", "/work", gang).first !in 200..201) delay(50)
                while (call("GET", "/work/j-%06d".format(GANG_JOB_NUMBER), null).second != "done") delay(100)
                for (n in 3..12 step 3) {
                    while (call("POST", "/work/j-%06d/cancel".format(n), null).second != "withdrawn") {
                        delay(50)
                    }
                }
                call("GET", "/work/j-999999", null).first == 404
            } ?: false
        }
    }
}
