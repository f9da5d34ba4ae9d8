package micatally.standin

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.cli.Loop
import micatally.cli.startController
import micatally.http.Client
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.Outcome
import micatally.http.Server
import micatally.settings.Settings
import micatally.wire.Amount
import micatally.wire.Flavor
import micatally.wire.JobSpec
import micatally.wire.bytes
import micatally.wire.parseObject
import micatally.wire.textOrNull
import java.net.ServerSocket
import kotlin.random.Random

/** A small fleet of stand-ins on loopback: state service, cloud and workers in one process. */
class LoopbackFleet(
    private val loop: Loop,
    private val reportMs: Long,
    private val leaseMs: Long,
    private val bootMs: Long,
) : WorkerWorld {
    private val specs = HashMap<String, JobSpec>()
    private val client = Client(loop.group, 200, loop::nowMs)
    private val completed = HashSet<Pair<String, Int>>()
    override val gangs = GangTable(loop.scope, GangTimes(leaseMs * 2, leaseMs / 4), Random(1), loop::nowMs)
    val zones = listOf("a", "b")
    private val flavors =
        listOf(
            Flavor("small", Amount(8.0, 0.0, 32.0), 40.0, 10.0, 1.0, 0.3, 1.0, zones),
            Flavor("g8", Amount(96.0, 8.0, 768.0), 400.0, 100.0, 30.0, 8.0, 1.0, zones),
        )
    var controllers: Map<String, String> = emptyMap()
    private val cloud =
        CloudStandin(
            loop.scope,
            flavors,
            zones
                .flatMap { z ->
                    flavors.flatMap { f ->
                        listOf(true, false).map {
                            Triple(f.label, z, it) to
                                20
                        }
                    }
                }.toMap(HashMap()),
            500,
            loop::nowMs,
            { name, f, zone, spot -> worker(name, f, zone, spot) },
        ).also { it.bootMs = { _ -> bootMs } }
    private val state = StateStandin(nowMs = loop::nowMs)

    private fun serve(
        addr: String,
        handle: suspend (HttpRequest) -> HttpResponse,
    ) = Server(
        loop.scope,
        loop.group,
        addr,
        200,
        1 shl 20,
        handle,
    ).also { it.start() }

    val cloudAddr: String
    val stateAddr: String

    init {
        stateAddr = "127.0.0.1:" + serve("127.0.0.1:0") { state.handle(it) }.port
        cloudAddr = "127.0.0.1:" + serve("127.0.0.1:0") { cloud.handle(it) }.port
        loop.scope.launch {
            while (true) {
                delay(100)
                state.expire()
            }
        }
    }

    private fun worker(
        name: String,
        f: Flavor,
        zone: String,
        spot: Boolean,
    ): WorkerStandin {
        lateinit var w: WorkerStandin
        val addr = "127.0.0.1:" + serve("127.0.0.1:0") { w.handle(it) }.port
        w =
            WorkerStandin(
                loop.scope,
                client,
                this,
                Random(name.hashCode()),
                name,
                addr,
                f.label,
                zone,
                spot,
                f.amount,
                f.pullGbPerS,
                reportMs,
                leaseMs,
                controllers,
                loop::nowMs,
            )
        return w
    }

    fun upload(spec: JobSpec) {
        specs[spec.ref] = spec
    }

    override fun spec(ref: String) = specs[ref]

    override fun runMs(
        ref: String,
        taskIndex: Int,
    ) = if (specs[ref]?.isService == true) null else 400L

    override fun completed(
        ref: String,
        taskIndex: Int,
    ) = (ref to taskIndex) in completed

    override fun started(
        machine: WorkerStandin,
        ref: String,
        taskIndex: Int,
    ) {}

    override fun left(
        machine: WorkerStandin,
        ref: String,
        taskIndex: Int,
        done: Boolean,
    ) {
        if (done) {
            completed.add(ref to taskIndex)
        }
    }

    fun settings(
        listen: Int,
        back: Int,
    ) = buildJsonObject {
        put("host_name", "pitbox-0")
        put("location", "a")
        put("listen", "127.0.0.1:$listen")
        put("back", "127.0.0.1:$back")
        put("seeds", JsonArray(emptyList()))
        put(
            "services",
            buildJsonObject {
                put("cloud", cloudAddr)
                put("state", stateAddr)
            },
        )
        put(
            "params",
            buildJsonObject {
                put("initial_size", 1)
                put("zones", JsonArray(zones.map { JsonPrimitive(it) }))
                put(
                    "teams",
                    buildJsonArray {
                        add(
                            buildJsonObject {
                                put("name", "vision")
                                put("cpus", 50.0)
                                put("cpus_max", 200.0)
                                put("gpus", 0.0)
                                put("gpus_max", 0.0)
                            },
                        )
                    },
                )
                put(
                    "workers",
                    buildJsonObject {
                        put("report_s", reportMs / 1000.0)
                        put("lease_s", leaseMs / 1000.0)
                        put(
                            "cancel_s",
                            leaseMs / 1000.0 * 4,
                        )
                    },
                )
                put(
                    "state",
                    buildJsonObject {
                        put("rps", 250)
                        put("write_rps", 100)
                        put("value_kb", 16)
                        put("txn_ops", 48)
                    },
                )
                put(
                    "cloud",
                    buildJsonObject {
                        put("rps", 5)
                        put("list_lag_s", 0.5)
                    },
                )
                put(
                    "machine_limits",
                    buildJsonObject {
                        put("core_share", 1.0)
                        put("memory_mb", 200)
                        put("max_sockets", 300)
                    },
                )
                put("time_bound_ms", 100)
            },
        )
    }
}

/** A controller's first minute in a few seconds, so that the build's class archive holds what a start needs. */
object Rehearsal {
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

    /** Number of the gang job. */
    private const val GANG = 13

    private fun freePort() = ServerSocket(0).use { it.localPort }

    /** Whether jobs were accepted, run, finished and cancelled. */
    suspend fun run(): Boolean {
        val world = Loop()
        val fleet = LoopbackFleet(world, 400, 4000, 300)
        lateinit var settings: Settings
        for (tries in 1..5) {
            settings = Settings.parse(fleet.settings(freePort(), freePort()).bytes())
            // A port that was free a moment ago may have been taken meanwhile.
            try {
                startController(Loop(), settings)
                break
            } catch (e: java.net.BindException) {
                if (tries ==
                    5
                ) {
                    throw e
                }
            }
        }
        fleet.controllers = mapOf("pitbox-0" to settings.listen)
        val client = Client(world.group, 20, world::nowMs)

        suspend fun call(
            method: String,
            target: String,
            body: kotlinx.serialization.json.JsonObject?,
        ): Pair<Int, String?> {
            val out = client.call(settings.listen, method, target, body?.bytes(), 3000)
            return if (out is Outcome.Answer) {
                out.status to
                    (
                        try {
                            parseObject(out.body).textOrNull("status")
                        } catch (e: Exception) {
                            null
                        }
                    )
            } else {
                0 to null
            }
        }
        return kotlinx.coroutines.withContext(world.scope.coroutineContext) {
            withTimeoutOrNull(20_000) {
                while (call("GET", "/healthz", null).first != 200) delay(50)
                for (n in 1..12) {
                    val body = job(n, if (n % 3 == 0) "daemon" else "sweep", n)
                    fleet.upload(JobSpec.parse(body))
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
                            GANG,
                            "gang",
                            4,
                        ) + mapOf("together" to JsonPrimitive(true), "scatter" to JsonPrimitive(false)),
                    )
                fleet.upload(JobSpec.parse(gang))
                while (call("POST", "/work", gang).first !in 200..201) delay(50)
                while (call("GET", "/work/j-%06d".format(GANG), null).second != "done") delay(100)
                for (n in 3..12 step 3) {
                    while (call("POST", "/work/j-%06d/cancel".format(n), null).second !=
                        "withdrawn"
                    ) {
                        delay(50)
                    }
                }
                call("GET", "/work/j-999999", null).first == 404
            } ?: false
        }
    }
}
