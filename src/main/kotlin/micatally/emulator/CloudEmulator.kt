package micatally.emulator

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.errorResponse
import micatally.wire.MachineType
import micatally.wire.asText
import micatally.wire.flag
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.parseObject
import micatally.wire.text

/**
 * A pool of machines that are alike to the cloud. It runs out of machines independently of the other pools.
 *
 * @property type label of the machine type
 */
data class CapacityPool(
    val type: String,
    val zone: String,
    val isSpot: Boolean,
)

/**
 * Emulates the cloud's HTTP API in memory: it lists the machine types, provisions and deletes machines, and lists them.
 * A machine that has booted becomes a worker through [boot].
 *
 * @property capacity how many more machines can be provisioned from each pool
 * @property lagMs how far the list of machines lags behind their real status, in ms
 */
class CloudEmulator(
    private val scope: CoroutineScope,
    private val machineTypes: List<MachineType>,
    private val capacity: MutableMap<CapacityPool, Int>,
    private val lagMs: Long,
    private val nowMs: () -> Long,
    private val boot: suspend (String, MachineType, String, Boolean) -> WorkerEmulator,
) {
    private class Machine(
        val name: String,
        val pool: CapacityPool,
        val createdAtMs: Long,
    ) {
        var worker: WorkerEmulator? = null
        var failed = false
        var removedAtMs: Long? = null
        var runningSinceMs: Long? = null
    }

    private val machines = java.util.TreeMap<String, Machine>()

    /** Names of the machines provisioned so far by request name: a repeated request gets the same answer. */
    private val namesByRequest = HashMap<String, List<String>>()

    private var nextNumber = 1

    /** While set, every request is answered with status 503. */
    var down = false

    /** How long a machine of a type takes to boot, in ms. */
    var bootMs: (MachineType) -> Long = { (it.readyS * 1000).toLong() }

    /** Selects the pools whose machines never come up: they stay in the list as starting. */
    var neverBoots: (CapacityPool) -> Boolean = { false }

    /** The workers on machines that have booted and were not removed. */
    val workers get() = machines.values.filter { it.removedAtMs == null && !it.failed }.mapNotNull { it.worker }

    /** How many machines exist, including those that still boot. */
    fun count() = machines.values.count { it.removedAtMs == null }

    /** How many machines were ever provisioned from the pools that [isCounted] selects. */
    fun provisionedCount(isCounted: (CapacityPool) -> Boolean) =
        namesByRequest.values.flatten().count { name -> isCounted(machines.getValue(name).pool) }

    private fun json(body: JsonObject) = HttpResponse(200, body.toString().encodeToByteArray())

    /** Answers a request of a controller. */
    fun handle(request: HttpRequest): HttpResponse {
        if (down) return errorResponse(503, "trouble")
        return when {
            request.path == "/flavors" ->
                json(
                    buildJsonObject {
                        put(
                            "chassis",
                            JsonArray(
                                machineTypes.map { type ->
                                    buildJsonObject {
                                        put("label", type.label)
                                        put("cores", type.resources.cores)
                                        put("cards", type.resources.gpus)
                                        put("ram_gb", type.resources.memoryGb)
                                        put("local_gb", type.cacheGb)
                                        put("pull_gb_per_s", type.pullGbPerS)
                                        put("hourly", type.hourly)
                                        put("spot_price", type.spotHourly)
                                        put("ready_s", type.readyS)
                                        put("circuits", JsonArray(type.zones.map { JsonPrimitive(it) }))
                                    }
                                },
                            ),
                        )
                    },
                )
            request.path == "/machines" && request.method == "POST" -> provision(parseObject(request.body))
            request.path == "/machines/delete" -> {
                for (name in parseObject(request.body).listOrNull("cars") ?: emptyList()) remove(name.asText())
                json(JsonObject(emptyMap()))
            }
            request.path == "/machines" -> list(request)
            else -> errorResponse(404, "no such resource")
        }
    }

    /**
     * Provisions up to the requested number of machines, as many as the capacity allows. They boot in the background.
     * A repeated request gets the names of the first answer.
     */
    private fun provision(body: JsonObject): HttpResponse {
        val requestName = body.text("booking")
        namesByRequest[requestName]?.let { return json(machineNames(it)) }
        val type = machineTypes.find { it.label == body.text("rig") } ?: return errorResponse(400, "no such type")
        val pool = CapacityPool(type.label, body.text("circuit"), body.flag("loaners"))
        val count = minOf(body.long("count").toInt(), capacity[pool] ?: 0)
        if (count == 0) return errorResponse(503, "no capacity")
        capacity[pool] = capacity.getValue(pool) - count
        val names = List(count) { "m-%06d".format(nextNumber++) }
        for (name in names) {
            val machine = Machine(name, pool, nowMs())
            machines[name] = machine
            scope.launch {
                delay(bootMs(type))
                if (machine.removedAtMs != null || neverBoots(pool)) return@launch
                machine.runningSinceMs = nowMs()
                machine.worker = boot(name, type, pool.zone, pool.isSpot).also { it.start() }
            }
        }
        namesByRequest[requestName] = names
        return json(machineNames(names))
    }

    /** Adds [count] machines that run from the start, in addition to those that the controllers provision. */
    suspend fun addRunning(
        machineType: MachineType,
        zone: String,
        isSpot: Boolean,
        count: Int,
    ) {
        repeat(count) {
            val pool = CapacityPool(machineType.label, zone, isSpot)
            val machine = Machine("m-%06d".format(nextNumber++), pool, nowMs())
            machines[machine.name] = machine
            machine.runningSinceMs = nowMs()
            machine.worker = boot(machine.name, machineType, zone, isSpot).also { it.start() }
        }
    }

    private fun machineNames(names: List<String>) =
        buildJsonObject { put("cars", JsonArray(names.map { JsonPrimitive(it) })) }

    private fun remove(name: String) {
        val machine = machines[name] ?: return
        if (machine.removedAtMs != null) return
        machine.removedAtMs = nowMs()
        machine.worker?.stop()
        capacity.merge(machine.pool, 1, Int::plus)
    }

    /**
     * Limits the pools that [isLimited] selects to [count] more machines each. With 0 the cloud runs out of a type, a
     * zone or a kind: it refuses to provision more of them while other pools have machines.
     */
    fun limitCapacity(
        count: Int,
        isLimited: (CapacityPool) -> Boolean,
    ) {
        for (pool in capacity.keys.filter(isLimited)) capacity[pool] = count
    }

    /** Removes a machine without notice, as when the cloud takes back a spot instance or a machine breaks down. */
    fun removeWithoutNotice(name: String) = remove(name)

    /** Answers with the machines as they were [lagMs] ago, in pages of at most 500. */
    private fun list(request: HttpRequest): HttpResponse {
        val since = request.query["since"] ?: ""
        val listedAtMs = nowMs() - lagMs
        val listed =
            machines.values.filter {
                it.name > since && it.createdAtMs <= listedAtMs && (it.removedAtMs ?: Long.MAX_VALUE) > listedAtMs
            }
        return json(
            buildJsonObject {
                put(
                    "cars",
                    JsonArray(
                        listed.take(500).map { machine ->
                            buildJsonObject {
                                put("ref", machine.name)
                                put("addr", machine.worker?.addr ?: "")
                                put("rig", machine.pool.type)
                                put("circuit", machine.pool.zone)
                                put("loaners", machine.pool.isSpot)
                                put(
                                    "status",
                                    if ((machine.runningSinceMs ?: Long.MAX_VALUE) <= listedAtMs) {
                                        "running"
                                    } else {
                                        "starting"
                                    },
                                )
                                put("held_s", (listedAtMs - machine.createdAtMs) / 1000.0)
                            }
                        },
                    ),
                )
                put("more", listed.size > 500)
            },
        )
    }
}
