package micatally.emulator

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import micatally.http.HttpCaller
import micatally.http.HttpRequest
import micatally.http.HttpResponse
import micatally.http.Outcome
import micatally.http.errorResponse
import micatally.wire.ExitReason
import micatally.wire.JobSpec
import micatally.wire.MalformedMessage
import micatally.wire.Resources
import micatally.wire.asObject
import micatally.wire.bytes
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.longOrNull
import micatally.wire.numberOrNull
import micatally.wire.parseObject
import micatally.wire.text
import micatally.wire.textOrNull
import kotlin.random.Random

/** What the tasks of a fleet do and who hears of their starts and ends. */
interface FleetTasks {
    fun spec(jobId: String): JobSpec?

    /** How long a task takes without its image, in milliseconds; null: until it is stopped. */
    fun runMs(
        jobId: String,
        taskIndex: Int,
    ): Long?

    fun started(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
    )

    fun left(
        machine: WorkerEmulator,
        jobId: String,
        taskIndex: Int,
        done: Boolean,
    )
}

/** What tells the emulator of a worker about jobs, and what hears of starts and ends. */
interface WorkerWorld : FleetTasks {
    fun completed(
        jobId: String,
        taskIndex: Int,
    ): Boolean

    /** Whether the job was submitted with a mistake: its tasks fail on every machine. */
    fun isBroken(jobId: String): Boolean = false

    val gangs: GangTable
}

/** A worker as the protocol page describes it. */
class WorkerEmulator(
    private val scope: CoroutineScope,
    private val http: HttpCaller,
    private val world: WorkerWorld,
    private val random: Random,
    val name: String,
    val addr: String,
    val type: String,
    val zone: String,
    val isSpot: Boolean,
    private val total: Resources,
    private val pullGbPerS: Double,
    private val heartbeatIntervalMs: Long,
    private val leaseMs: Long,
    private val controllers: Map<String, String>,
    private val nowMs: () -> Long,
) {
    class Task(
        val jobId: String,
        val taskIndex: Int,
        val attempt: Long,
        val resources: Resources,
    ) {
        var status = "pulling"
        var why: String? = null
        var isSaved = false
        var job: Job? = null
        var run: GangTable.GangRun? = null
        var member: GangMember? = null
        val isOnMachine get() = status == "waiting" || status == "running" || status == "saving"
    }

    /** A gang's task has its image: from now on the workers of the gang decide together. */
    private inner class Member(
        private val t: Task,
    ) : GangMember {
        override val task get() = t.taskIndex
        override val isHung get() = hung

        override fun run() {
            t.status = "running"
            changed = true
        }

        override fun save() {
            t.status = "saving"
            changed = true
        }

        override fun exit(
            reason: ExitReason,
            isSaved: Boolean,
        ) {
            if (!t.isOnMachine || !alive) return
            t.isSaved = isSaved
            end(t, reason.word)
        }
    }

    private fun joinGang(
        t: Task,
        spec: JobSpec,
    ) {
        t.status = "waiting"
        changed = true
        val run = world.gangs.run(spec, t.attempt, world.runMs(t.jobId, 0) ?: 0L)
        val member = Member(t)
        t.run = run
        t.member = member
        run.join(member)
    }

    private fun leaveGang(t: Task) {
        t.member?.let { t.run?.leave(it) }
    }

    private var alive = true
    val tasks = LinkedHashMap<Triple<String, Int, Long>, Task>()
    private val images = HashSet<String>()

    /** Machines of a type differ in how fast they fetch images, by up to a third. */
    private val fetchGbPerS = pullGbPerS * Random(name.hashCode()).nextDouble(2.0 / 3, 4.0 / 3)
    var incarnation = 1L
        private set
    private var sequence = 0L
    var token = 0L
        private set
    private var renewedAt = nowMs()
    var sick = false

    /** While it hangs nothing on it goes on; a lease that ran out meanwhile has ended when it does. */
    var hung = false
        set(v) {
            field = v
            if (!v && alive) checkLease()
        }
    var spotNoticeS: Double? = null
    private var reporter: Job? = null
    private var leaser: Job? = null
    private var changed = false

    /** What is free beside all that has not ended. */
    val free get() = tasks.values.filter { it.status != "ended" }.fold(total) { a, t -> a - t.resources }
    val onMachine get() = tasks.values.filter { alive && (it.isOnMachine) }

    fun start() {
        reporter = scope.launch { reportLoop() }
        leaser =
            scope.launch {
                while (true) {
                    delay(100)
                    if (!hung) checkLease()
                }
            }
    }

    /** The machine is gone, and everything on it. */
    fun stop() {
        if (!alive) return
        alive = false
        reporter?.cancel()
        leaser?.cancel()
        for (t in tasks.values.toList()) drop(t)
        tasks.clear()
    }

    private fun drop(t: Task) {
        t.job?.cancel()
        if (t.isOnMachine) world.left(this, t.jobId, t.taskIndex, false)
        leaveGang(t)
    }

    private fun checkLease() {
        if (nowMs() - renewedAt <= leaseMs) return
        for (t in tasks.values.toList()) drop(t)
        tasks.clear()
        incarnation++
        renewedAt = nowMs()
        changed = true
    }

    private fun report(): JsonObject =
        buildJsonObject {
            put("car", name)
            put("addr", addr)
            put("rig", type)
            put("circuit", zone)
            put("loaners", isSpot)
            put("stint", incarnation)
            put("tick", ++sequence)
            put("baton", token)
            put("recall_s", spotNoticeS)
            put(
                "laps",
                JsonArray(
                    tasks.values.map { t ->
                        buildJsonObject {
                            put("lap", "${t.jobId}/${t.taskIndex}")
                            put("start", t.attempt)
                            put("status", t.status)
                            if (t.why != null) put("retire_reason", t.why)
                            if (t.isSaved) put("saved", true)
                        }
                    },
                ),
            )
        }

    private suspend fun reportLoop() {
        val names = controllers.keys.sorted()
        var at = random.nextInt(names.size)
        delay(random.nextLong(maxOf(1L, heartbeatIntervalMs)))
        while (true) {
            while (hung) delay(50)
            checkLease()
            val sent = nowMs()
            val mySession = incarnation
            changed = false
            val out = http.call(controllers.getValue(names[at]), "POST", "/v1/report", report().bytes(), 4000)
            while (hung) delay(50)
            checkLease()
            if (out is Outcome.Answer && out.status == 200) {
                val o = parseObject(out.body)
                val t = o.longOrNull("baton") ?: 0L
                if (t >= token && mySession == incarnation && nowMs() - sent <= 4000) {
                    token = t
                    renewedAt = maxOf(renewedAt, sent)
                    execute(o)
                }
                val until = nowMs() + heartbeatIntervalMs * 3 / 4 + random.nextLong(heartbeatIntervalMs / 2 + 1)
                delay(minOf(500L, heartbeatIntervalMs / 2))
                while (nowMs() < until && !changed) delay(50)
            } else {
                val marshal =
                    if (out is Outcome.Answer &&
                        out.status == 421
                    ) {
                        try {
                            parseObject(out.body).textOrNull("marshal")
                        } catch (e: MalformedMessage) {
                            null
                        }
                    } else {
                        null
                    }
                if (marshal != null && marshal in controllers &&
                    names[at] != marshal
                ) {
                    at = names.indexOf(marshal)
                    delay(100)
                } else {
                    at = (at + 1) % names.size
                    delay(1000)
                }
            }
        }
    }

    suspend fun handle(r: HttpRequest): HttpResponse {
        while (hung) delay(50)
        if (!alive) return errorResponse(503, "gone")
        checkLease()
        if (r.path == "/show") return HttpResponse(200, report().bytes())
        if (r.path != "/orders") return errorResponse(404, "no such resource")
        val o = parseObject(r.body)
        val t = o.longOrNull("baton") ?: return errorResponse(400, "baton is missing")
        val s = o.longOrNull("stint") ?: return errorResponse(400, "stint is missing")
        if (t < token || s != incarnation) return HttpResponse(409, report().bytes())
        token = t
        execute(o)
        return HttpResponse(200, report().bytes())
    }

    private fun execute(o: JsonObject) {
        for (c in (o.listOrNull("radio") ?: emptyList()).map { it.asObject() }) {
            val name = c.text("lap")
            val jobId = name.substringBeforeLast('/')
            val taskIndex = name.substringAfterLast('/').toInt()
            val id = Triple(jobId, taskIndex, c.long("start"))
            when (c.text("call")) {
                "run" -> run(id)
                "kill" -> tasks[id]?.let { kill(it, c.numberOrNull("cooldown_s") ?: 0.0) }
                "clear" -> if (tasks[id]?.status == "ended") tasks.remove(id)
            }
        }
    }

    private fun end(
        t: Task,
        why: String,
    ) {
        val wasOnMachine = t.isOnMachine
        t.status = "ended"
        t.why = why
        changed = true
        if (wasOnMachine) world.left(this, t.jobId, t.taskIndex, why == "done")
        leaveGang(t)
    }

    private fun run(id: Triple<String, Int, Long>) {
        if (id in tasks) return
        val spec = world.spec(id.first)
        val t = Task(id.first, id.second, id.third, spec?.resources ?: Resources.NONE)
        tasks[id] = t
        changed = true
        val live = tasks.values.filter { it !== t && it.status != "ended" }
        when {
            spec == null || t.taskIndex !in 0 until spec.taskCount -> end(t, "unknown")
            live.any { it.jobId == t.jobId && it.taskIndex == t.taskIndex } -> end(t, "in_use")
            !t.resources.fitsIn(live.fold(total) { a, b -> a - b.resources }) -> end(t, "full")
            else ->
                t.job =
                    scope.launch {
                        if (spec.image !in
                            images
                        ) {
                            delay((spec.imageGb / fetchGbPerS * 1000).toLong())
                            images.add(spec.image)
                        }
                        while (hung) delay(50)
                        t.status = "running"
                        changed = true
                        world.started(this@WorkerEmulator, t.jobId, t.taskIndex)
                        if (spec.isGang && !sick && !world.completed(t.jobId, t.taskIndex)) {
                            joinGang(t, spec)
                            return@launch
                        }
                        if (sick || world.isBroken(t.jobId)) {
                            delay(FAILS_AFTER_MS)
                            end(t, "error")
                            return@launch
                        }
                        if (world.completed(t.jobId, t.taskIndex)) {
                            end(t, "done")
                            return@launch
                        }
                        val ms = world.runMs(t.jobId, t.taskIndex) ?: return@launch
                        delay(ms)
                        while (hung) delay(50)
                        end(t, "done")
                    }
        }
    }

    private fun kill(
        t: Task,
        grace: Double,
    ) {
        if (t.status == "ended") return
        val spec = world.spec(t.jobId)
        val mayGrace = spec != null && spec.checkpointS > 0 && grace >= spec.saveS && grace > 0
        val run = t.run
        if (t.status == "running" && mayGrace && run != null) {
            run.kill(t.member!!)
            return
        }
        if (t.status == "running" && spec != null && mayGrace) {
            t.job?.cancel()
            t.status = "saving"
            changed = true
            t.job =
                scope.launch {
                    delay((spec.saveS * 1000).toLong())
                    t.isSaved = true
                    end(t, "stopped")
                }
            return
        }
        if (t.status == "saving" && grace > 0) return
        t.job?.cancel()
        end(t, "stopped")
    }

    private companion object {
        const val FAILS_AFTER_MS = 500L
    }
}
