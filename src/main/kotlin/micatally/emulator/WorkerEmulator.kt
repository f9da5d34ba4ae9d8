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
        private val ownTask: Task,
    ) : GangMember {
        override val task get() = ownTask.taskIndex
        override val isHung get() = hung

        override fun run() {
            ownTask.status = "running"
            changed = true
        }

        override fun save() {
            ownTask.status = "saving"
            changed = true
        }

        override fun exit(
            reason: ExitReason,
            isSaved: Boolean,
        ) {
            if (!ownTask.isOnMachine || !alive) return
            ownTask.isSaved = isSaved
            end(ownTask, reason.word)
        }
    }

    private fun joinGang(
        task: Task,
        spec: JobSpec,
    ) {
        task.status = "waiting"
        changed = true
        val run = world.gangs.run(spec, task.attempt, world.runMs(task.jobId, 0) ?: 0L)
        val member = Member(task)
        task.run = run
        task.member = member
        run.join(member)
    }

    private fun leaveGang(task: Task) {
        task.member?.let { task.run?.leave(it) }
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
        set(value) {
            field = value
            if (!value && alive) checkLease()
        }
    var spotNoticeS: Double? = null
    private var heartbeatJob: Job? = null
    private var leaseJob: Job? = null
    private var changed = false

    /** What is free beside all that has not ended. */
    val free get() = tasks.values.filter { it.status != "ended" }.fold(total) { free, task -> free - task.resources }
    val onMachine get() = tasks.values.filter { alive && it.isOnMachine }

    fun start() {
        heartbeatJob = scope.launch { heartbeatLoop() }
        leaseJob =
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
        heartbeatJob?.cancel()
        leaseJob?.cancel()
        for (task in tasks.values.toList()) drop(task)
        tasks.clear()
    }

    private fun drop(task: Task) {
        task.job?.cancel()
        if (task.isOnMachine) world.left(this, task.jobId, task.taskIndex, false)
        leaveGang(task)
    }

    private fun checkLease() {
        if (nowMs() - renewedAt <= leaseMs) return
        for (task in tasks.values.toList()) drop(task)
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
                    tasks.values.map { task ->
                        buildJsonObject {
                            put("lap", "${task.jobId}/${task.taskIndex}")
                            put("start", task.attempt)
                            put("status", task.status)
                            if (task.why != null) put("retire_reason", task.why)
                            if (task.isSaved) put("saved", true)
                        }
                    },
                ),
            )
        }

    private suspend fun heartbeatLoop() {
        val controllerNames = controllers.keys.sorted()
        var index = random.nextInt(controllerNames.size)
        delay(random.nextLong(maxOf(1L, heartbeatIntervalMs)))
        while (true) {
            while (hung) delay(50)
            checkLease()
            val sentAt = nowMs()
            val incarnationAtSend = incarnation
            changed = false
            val outcome =
                http.call(
                    controllers.getValue(controllerNames[index]),
                    "POST",
                    "/v1/report",
                    report().bytes(),
                    4000,
                )
            while (hung) delay(50)
            checkLease()
            if (outcome is Outcome.Answer && outcome.status == 200) {
                val response = parseObject(outcome.body)
                val newToken = response.longOrNull("baton") ?: 0L
                if (newToken >= token && incarnationAtSend == incarnation && nowMs() - sentAt <= 4000) {
                    token = newToken
                    renewedAt = maxOf(renewedAt, sentAt)
                    execute(response)
                }
                val nextAt = nowMs() + heartbeatIntervalMs * 3 / 4 + random.nextLong(heartbeatIntervalMs / 2 + 1)
                delay(minOf(500L, heartbeatIntervalMs / 2))
                while (nowMs() < nextAt && !changed) delay(50)
            } else {
                val leader =
                    if (outcome is Outcome.Answer &&
                        outcome.status == 421
                    ) {
                        try {
                            parseObject(outcome.body).textOrNull("marshal")
                        } catch (_: MalformedMessage) {
                            null
                        }
                    } else {
                        null
                    }
                if (leader != null && leader in controllers &&
                    controllerNames[index] != leader
                ) {
                    index = controllerNames.indexOf(leader)
                    delay(100)
                } else {
                    index = (index + 1) % controllerNames.size
                    delay(1000)
                }
            }
        }
    }

    suspend fun handle(request: HttpRequest): HttpResponse {
        while (hung) delay(50)
        if (!alive) return errorResponse(503, "gone")
        checkLease()
        if (request.path == "/show") return HttpResponse(200, report().bytes())
        if (request.path != "/orders") return errorResponse(404, "no such resource")
        val body = parseObject(request.body)
        val newToken = body.longOrNull("baton") ?: return errorResponse(400, "baton is missing")
        val addressedIncarnation = body.longOrNull("stint") ?: return errorResponse(400, "stint is missing")
        if (newToken < token || addressedIncarnation != incarnation) return HttpResponse(409, report().bytes())
        token = newToken
        execute(body)
        return HttpResponse(200, report().bytes())
    }

    private fun execute(message: JsonObject) {
        for (command in (message.listOrNull("radio") ?: emptyList()).map { it.asObject() }) {
            val name = command.text("lap")
            val jobId = name.substringBeforeLast('/')
            val taskIndex = name.substringAfterLast('/').toInt()
            val id = Triple(jobId, taskIndex, command.long("start"))
            when (command.text("call")) {
                "run" -> run(id)
                "kill" -> tasks[id]?.let { kill(it, command.numberOrNull("cooldown_s") ?: 0.0) }
                "clear" -> if (tasks[id]?.status == "ended") tasks.remove(id)
            }
        }
    }

    private fun end(
        task: Task,
        why: String,
    ) {
        val wasOnMachine = task.isOnMachine
        task.status = "ended"
        task.why = why
        changed = true
        if (wasOnMachine) world.left(this, task.jobId, task.taskIndex, why == "done")
        leaveGang(task)
    }

    private fun run(id: Triple<String, Int, Long>) {
        if (id in tasks) return
        val spec = world.spec(id.first)
        val task = Task(id.first, id.second, id.third, spec?.resources ?: Resources.NONE)
        tasks[id] = task
        changed = true
        val live = tasks.values.filter { it !== task && it.status != "ended" }
        when {
            spec == null || task.taskIndex !in 0 until spec.taskCount -> end(task, "unknown")
            live.any { it.jobId == task.jobId && it.taskIndex == task.taskIndex } -> end(task, "in_use")
            !task.resources.fitsIn(live.fold(total) { free, other -> free - other.resources }) -> end(task, "full")
            else ->
                task.job =
                    scope.launch {
                        if (spec.image !in
                            images
                        ) {
                            delay((spec.imageGb / fetchGbPerS * 1000).toLong())
                            images.add(spec.image)
                        }
                        while (hung) delay(50)
                        task.status = "running"
                        changed = true
                        world.started(this@WorkerEmulator, task.jobId, task.taskIndex)
                        if (spec.isGang && !sick && !world.completed(task.jobId, task.taskIndex)) {
                            joinGang(task, spec)
                            return@launch
                        }
                        if (sick || world.isBroken(task.jobId)) {
                            delay(FAILS_AFTER_MS)
                            end(task, "error")
                            return@launch
                        }
                        if (world.completed(task.jobId, task.taskIndex)) {
                            end(task, "done")
                            return@launch
                        }
                        val durationMs = world.runMs(task.jobId, task.taskIndex) ?: return@launch
                        delay(durationMs)
                        while (hung) delay(50)
                        end(task, "done")
                    }
        }
    }

    private fun kill(
        task: Task,
        graceS: Double,
    ) {
        if (task.status == "ended") return
        val spec = world.spec(task.jobId)
        val maySave = spec != null && spec.checkpointS > 0 && graceS >= spec.saveS && graceS > 0
        val run = task.run
        if (task.status == "running" && maySave && run != null) {
            run.kill(task.member!!)
            return
        }
        if (task.status == "running" && spec != null && maySave) {
            task.job?.cancel()
            task.status = "saving"
            changed = true
            task.job =
                scope.launch {
                    delay((spec.saveS * 1000).toLong())
                    task.isSaved = true
                    end(task, "stopped")
                }
            return
        }
        if (task.status == "saving" && graceS > 0) return
        task.job?.cancel()
        end(task, "stopped")
    }

    private companion object {
        const val FAILS_AFTER_MS = 500L
    }
}
