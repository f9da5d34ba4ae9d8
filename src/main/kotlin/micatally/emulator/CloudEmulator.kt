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

/** The cloud as the protocol page describes it; a machine that is up becomes a worker through [boot]. */
class CloudEmulator(
    private val scope: CoroutineScope,
    private val machineTypes: List<MachineType>,
    private val capacity: MutableMap<Triple<String, String, Boolean>, Int>,
    private val lagMs: Long,
    private val nowMs: () -> Long,
    private val boot: suspend (String, MachineType, String, Boolean) -> WorkerEmulator,
) {
    private class Car(
        val name: String,
        val type: String,
        val zone: String,
        val isSpot: Boolean,
        val at: Long,
    ) {
        var worker: WorkerEmulator? = null
        var failed = false
        var removedAt: Long? = null
        var upAt: Long? = null
    }

    private val cars = java.util.TreeMap<String, Car>()
    private val answered = HashMap<String, List<String>>()
    private var next = 1
    var down = false
    var bootMs: (MachineType) -> Long = { (it.readyS * 1000).toLong() }

    val workers get() = cars.values.filter { it.removedAt == null && !it.failed }.mapNotNull { it.worker }

    fun count() = cars.values.count { it.removedAt == null }

    private fun json(o: JsonObject) = HttpResponse(200, o.toString().encodeToByteArray())

    fun handle(r: HttpRequest): HttpResponse {
        if (down) return errorResponse(503, "trouble")
        return when {
            r.path == "/flavors" ->
                json(
                    buildJsonObject {
                        put(
                            "chassis",
                            JsonArray(
                                machineTypes.map { f ->
                                    buildJsonObject {
                                        put("label", f.label)
                                        put("cores", f.resources.cores)
                                        put("cards", f.resources.gpus)
                                        put("ram_gb", f.resources.memoryGb)
                                        put("local_gb", f.cacheGb)
                                        put("pull_gb_per_s", f.pullGbPerS)
                                        put("hourly", f.hourly)
                                        put("spot_price", f.spotHourly)
                                        put("ready_s", f.readyS)
                                        put("circuits", JsonArray(f.zones.map { JsonPrimitive(it) }))
                                    }
                                },
                            ),
                        )
                    },
                )
            r.path == "/machines" && r.method == "POST" -> rent(parseObject(r.body))
            r.path == "/machines/delete" -> {
                for (n in parseObject(r.body).listOrNull("cars") ?: emptyList()) remove(n.asText())
                json(JsonObject(emptyMap()))
            }
            r.path == "/machines" -> list(r)
            else -> errorResponse(404, "no such resource")
        }
    }

    private fun rent(o: JsonObject): HttpResponse {
        val booking = o.text("booking")
        answered[booking]?.let { return json(cars(it)) }
        val f = machineTypes.find { it.label == o.text("rig") } ?: return errorResponse(400, "no such type")
        val key = Triple(f.label, o.text("circuit"), o.flag("loaners"))
        val n = minOf(o.long("count").toInt(), capacity[key] ?: 0)
        if (n == 0) return errorResponse(503, "no capacity")
        capacity[key] = capacity.getValue(key) - n
        val names = List(n) { "m-%06d".format(next++) }
        for (name in names) {
            val c = Car(name, key.first, key.second, key.third, nowMs())
            cars[name] = c
            scope.launch {
                delay(bootMs(f))
                if (c.removedAt != null) return@launch
                c.upAt = nowMs()
                c.worker = boot(name, f, c.zone, c.isSpot).also { it.start() }
            }
        }
        answered[booking] = names
        return json(cars(names))
    }

    /** Machines that are up from the start, beside those that are rented later. */
    suspend fun addRunning(
        machineType: MachineType,
        zone: String,
        isSpot: Boolean,
        count: Int,
    ) {
        repeat(count) {
            val car = Car("m-%06d".format(next++), machineType.label, zone, isSpot, nowMs())
            cars[car.name] = car
            car.upAt = nowMs()
            car.worker = boot(car.name, machineType, zone, isSpot).also { it.start() }
        }
    }

    private fun cars(names: List<String>) = buildJsonObject { put("cars", JsonArray(names.map { JsonPrimitive(it) })) }

    private fun remove(name: String) {
        val c = cars[name] ?: return
        if (c.removedAt != null) return
        c.removedAt = nowMs()
        c.worker?.stop()
        capacity.merge(Triple(c.type, c.zone, c.isSpot), 1, Int::plus)
    }

    /** No more machines of this type are to be had. */
    fun refuse(type: String) {
        for (key in capacity.keys.filter { it.first == type }) capacity[key] = 0
    }

    /** The cloud takes a machine back without a word, or a machine dies. */
    fun take(name: String) = remove(name)

    private fun list(r: HttpRequest): HttpResponse {
        val since = r.query["since"] ?: ""
        val then = nowMs() - lagMs
        val shown = cars.values.filter { it.name > since && it.at <= then && (it.removedAt ?: Long.MAX_VALUE) > then }
        return json(
            buildJsonObject {
                put(
                    "cars",
                    JsonArray(
                        shown.take(500).map { c ->
                            buildJsonObject {
                                put("ref", c.name)
                                put("addr", c.worker?.addr ?: "")
                                put("rig", c.type)
                                put("circuit", c.zone)
                                put("loaners", c.isSpot)
                                put(
                                    "status",
                                    if ((c.upAt ?: Long.MAX_VALUE) <=
                                        then
                                    ) {
                                        "running"
                                    } else {
                                        "starting"
                                    },
                                )
                                put("held_s", (then - c.at) / 1000.0)
                            }
                        },
                    ),
                )
                put("more", shown.size > 500)
            },
        )
    }
}
