package micatally.emulator

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.cli.EventLoop
import micatally.http.Client
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.Outcome
import micatally.http.Server
import micatally.settings.Team
import micatally.settings.TeamJson
import micatally.state.StateLimits
import micatally.wire.MachineType
import kotlin.random.Random

/**
 * Composition, limits and times of a fleet of emulators.
 *
 * @property machinesOfEachKind how many machines can be provisioned of each type in each zone, as spot instances and
 *   likewise as ordinary machines
 * @property cancelMs setting `cancel_s` of the controllers, in ms
 * @property bootMs how long a machine takes to boot
 * @property listLagMs how far the cloud's list of machines lags behind
 * @property settingsLimits limits of the state service as the controllers' settings file states them
 * @property stateLimits limits that the emulator of the state service enforces; null: none
 * @property cloudRps requests a second that a controller may send to the cloud, as its settings file states it
 * @property maxSockets sockets that a controller may use, as its settings file states it
 * @property maxConnections connections that each server of an emulator accepts
 */
class FleetPlan(
    val zones: List<String>,
    val machineTypes: List<MachineType>,
    val teams: List<Team>,
    val machinesOfEachKind: Int,
    val heartbeatIntervalMs: Long,
    val leaseMs: Long,
    val cancelMs: Long,
    val bootMs: Long,
    val listLagMs: Long,
    val settingsLimits: StateLimits,
    val stateLimits: StateLimits?,
    val cloudRps: Double,
    val maxSockets: Int,
    val maxConnections: Int,
)

/**
 * The host name, zone and addresses of one controller.
 *
 * @property listen address for users and workers
 * @property back address for the other controllers
 */
class ControllerPlace(
    val host: String,
    val zone: String,
    val listen: String,
    val back: String,
)

/** Is told of each message between controllers and emulators, with its size in bytes. */
fun interface MessageObserver {
    /** Called when a message of interface [peer] was answered, or was given up; [status] is then 0. */
    fun seen(
        peer: Interface,
        method: String,
        target: String,
        requestBytes: Int,
        status: Int,
        answerBytes: Int,
    )

    /** Interfaces of a controller; `REPORT` is for heartbeats of workers, `ORDER` for commands to workers. */
    enum class Interface { STATE, CLOUD, REPORT, ORDER, USER }
}

/**
 * A fleet of emulators on loopback: state service, cloud and workers. Each serves its HTTP API on a socket of its own.
 *
 * @param workerLoop event loop of the workers and the cloud
 * @param stateLoop event loop of the state service; may be the same as [workerLoop]
 */
class LoopbackFleet(
    private val workerLoop: EventLoop,
    private val stateLoop: EventLoop,
    private val plan: FleetPlan,
    private val tasks: FleetTasks,
    private val observer: MessageObserver = MessageObserver { _, _, _, _, _, _ -> },
) : WorkerWorld {
    private val client = Client(workerLoop.group, plan.maxConnections, workerLoop::nowMs)
    private val completed = HashSet<Pair<String, Int>>()
    override val gangs =
        GangTable(workerLoop.scope, GangTimes(plan.leaseMs * 2, plan.leaseMs / 4), Random(1), workerLoop::nowMs)

    /** Addresses of the controllers for workers, by host name; to be set before the first worker boots. */
    var controllers: Map<String, String> = emptyMap()

    val cloud =
        CloudEmulator(
            workerLoop.scope,
            plan.machineTypes,
            capacity(),
            plan.listLagMs,
            workerLoop::nowMs,
            { name, machineType, zone, isSpot -> worker(name, machineType, zone, isSpot) },
        ).also { it.bootMs = { _ -> plan.bootMs } }
    val state = StateStoreEmulator(plan.stateLimits, stateLoop::nowMs)
    val cloudAddr = "127.0.0.1:" + serve(workerLoop, MessageObserver.Interface.CLOUD) { cloud.handle(it) }.port
    val stateAddr = "127.0.0.1:" + serve(stateLoop, MessageObserver.Interface.STATE) { state.handle(it) }.port

    init {
        stateLoop.scope.launch {
            while (true) {
                delay(LEASE_CHECK_MS)
                state.expire()
            }
        }
    }

    private fun capacity(): MutableMap<CapacityPool, Int> {
        val capacity = HashMap<CapacityPool, Int>()
        for (zone in plan.zones) {
            for (machineType in plan.machineTypes) {
                for (isSpot in listOf(true, false)) {
                    capacity[CapacityPool(machineType.label, zone, isSpot)] =
                        plan.machinesOfEachKind
                }
            }
        }
        return capacity
    }

    private fun serve(
        loop: EventLoop,
        peer: MessageObserver.Interface,
        handle: suspend (HttpRequest) -> HttpResponse,
    ): Server {
        val observed: suspend (HttpRequest) -> HttpResponse = { request ->
            handle(request).also {
                observer.seen(peer, request.method, request.target, request.body.size, it.status, it.body.size)
            }
        }
        return Server(
            loop.scope,
            loop.group,
            ANY_PORT,
            plan.maxConnections,
            MAX_BODY_BYTES,
            handle = observed,
        ).also { it.start() }
    }

    /** Sends the heartbeats of the workers and tells [observer] of each. */
    private val heartbeatCaller =
        HttpCaller { addr, method, target, body, timeoutMs ->
            val outcome = client.call(addr, method, target, body, timeoutMs)
            val answer = outcome as? Outcome.Answer
            observer.seen(
                MessageObserver.Interface.REPORT,
                method,
                target,
                body?.size ?: 0,
                answer?.status ?: 0,
                answer?.body?.size ?: 0,
            )
            outcome
        }

    private fun worker(
        name: String,
        machineType: MachineType,
        zone: String,
        isSpot: Boolean,
    ): WorkerEmulator {
        lateinit var worker: WorkerEmulator
        val addr = "127.0.0.1:" + serve(workerLoop, MessageObserver.Interface.ORDER) { worker.handle(it) }.port
        worker =
            WorkerEmulator(
                workerLoop.scope,
                heartbeatCaller,
                this,
                Random(name.hashCode()),
                name,
                addr,
                machineType.label,
                zone,
                isSpot,
                machineType.resources,
                machineType.pullGbPerS,
                plan.heartbeatIntervalMs,
                plan.leaseMs,
                controllers,
                workerLoop::nowMs,
            )
        return worker
    }

    override fun spec(jobId: String) = tasks.spec(jobId)

    override fun runMs(
        jobId: String,
        taskIndex: Int,
    ) = tasks.runMs(jobId, taskIndex)

    override fun completed(
        jobId: String,
        taskIndex: Int,
    ) = (jobId to taskIndex) in completed

    override fun started(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
    ) = tasks.started(machine, jobId, taskIndex)

    override fun left(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
        done: Boolean,
    ) {
        if (done) completed.add(jobId to taskIndex)
        tasks.left(machine, jobId, taskIndex, done)
    }

    /** Builds the settings file of the controller at [place]; its seeds are the other controllers of [all]. */
    fun settings(
        place: ControllerPlace,
        all: List<ControllerPlace> = listOf(place),
    ) = buildJsonObject {
        put("host_name", place.host)
        put("location", place.zone)
        put("listen", place.listen)
        put("back", place.back)
        put("seeds", seeds(all.filter { it !== place }))
        put(
            "services",
            buildJsonObject {
                put("cloud", cloudAddr)
                put("state", stateAddr)
            },
        )
        put("params", params(all.size))
    }

    private fun seeds(others: List<ControllerPlace>) =
        buildJsonArray {
            for (other in others) {
                add(
                    buildJsonObject {
                        put("host_name", other.host)
                        put("location", other.zone)
                        put("peer_addr", other.back)
                    },
                )
            }
        }

    private fun params(controllerCount: Int) =
        buildJsonObject {
            put("initial_size", controllerCount)
            put("zones", JsonArray(plan.zones.map { JsonPrimitive(it) }))
            put("teams", JsonArray(plan.teams.map { TeamJson.encode(it) }))
            put(
                "workers",
                buildJsonObject {
                    put("report_s", plan.heartbeatIntervalMs / 1000.0)
                    put("lease_s", plan.leaseMs / 1000.0)
                    put("cancel_s", plan.cancelMs / 1000.0)
                },
            )
            put(
                "state",
                buildJsonObject {
                    put("rps", plan.settingsLimits.rps)
                    put("write_rps", plan.settingsLimits.writeRps)
                    put("value_kb", plan.settingsLimits.valueBytes / 1024)
                    put("txn_ops", plan.settingsLimits.maxOperationsPerTransaction)
                },
            )
            put(
                "cloud",
                buildJsonObject {
                    put("rps", plan.cloudRps)
                    put("list_lag_s", plan.listLagMs / 1000.0)
                },
            )
            put(
                "machine_limits",
                buildJsonObject {
                    put("core_share", 1.0)
                    put("memory_mb", 200)
                    put("max_sockets", plan.maxSockets)
                },
            )
            put("time_bound_ms", 100)
        }

    private companion object {
        const val ANY_PORT = "127.0.0.1:0"
        const val MAX_BODY_BYTES = 1L shl 20
        const val LEASE_CHECK_MS = 100L
    }
}
