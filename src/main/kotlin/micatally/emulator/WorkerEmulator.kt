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
import micatally.http.errorResponse
import micatally.wire.Resources
import micatally.wire.asObject
import micatally.wire.bytes
import micatally.wire.listOrNull
import micatally.wire.long
import micatally.wire.longOrNull
import micatally.wire.numberOrNull
import micatally.wire.parseObject
import micatally.wire.text
import micatally.worker.AttemptId
import kotlin.random.Random

/**
 * Emulates a worker on a machine of its own: its lease, its heartbeats and its HTTP API for commands. Its tasks are
 * simulated by [TaskExecution].
 *
 * Not thread-safe: everything runs on the one thread of [scope]. All times are in milliseconds by [nowMs].
 */
class WorkerEmulator(
    private val scope: CoroutineScope,
    http: HttpCaller,
    world: WorkerWorld,
    random: Random,
    val name: String,
    val addr: String,
    val type: String,
    val zone: String,
    val isSpot: Boolean,
    total: Resources,
    pullGbPerS: Double,
    heartbeatIntervalMs: Long,
    private val leaseMs: Long,
    controllers: Map<String, String>,
    private val nowMs: () -> Long,
) {
    private val heartbeats = HeartbeatLoop(Sender(), http, controllers, random, heartbeatIntervalMs, nowMs)

    /** How fast this machine fetches images; machines of a type differ from its nominal speed by up to a third. */
    private val fetchGbPerS = pullGbPerS * Random(name.hashCode()).nextDouble(2.0 / 3, 4.0 / 3)
    private val execution = TaskExecution(scope, world, this, total, fetchGbPerS, heartbeats::noteChange)

    /** Whether the machine still exists. */
    internal var isAlive = true
        private set

    /** All tasks that the heartbeats list, including those that have ended. */
    val tasks: Collection<EmulatedTask> get() = execution.tasks

    /** The resources that no task holds. */
    val free get() = execution.free

    /** The tasks that are on the machine now: their images are there and they have not ended. */
    val onMachine get() = tasks.filter { isAlive && it.isOnMachine }

    /** Starts at 1 and rises by one each time the worker loses its lease, and all its tasks with it. */
    var incarnation = 1L
        private set
    private var sequence = 0L

    /** The highest fencing token that the worker has seen. Commands with a lower one are refused. */
    var token = 0L
        private set
    private var renewedAtMs = nowMs()
    private val copyRandom = Random(name.hashCode() + 1)

    /** When a higher token last caused an early heartbeat. */
    private var tokenReportedAtMs = Long.MIN_VALUE / 2

    /** Whether the machine is faulty: every task that starts on it meanwhile ends with an error. */
    var sick = false

    /** Whether the machine is hung: nothing on it makes progress. The lease is checked when it goes on again. */
    var hung = false
        set(value) {
            field = value
            if (!value && isAlive) checkLease()
        }

    /** Seconds until the cloud takes this spot instance back, as its notice says; null: no notice was given. */
    var spotNoticeS: Double? = null
    private var heartbeatJob: Job? = null
    private var leaseJob: Job? = null

    /** Starts to send heartbeats and to check the lease. */
    fun start() {
        heartbeatJob = scope.launch { heartbeats.run() }
        leaseJob = scope.launch { watchLease() }
    }

    /** Removes the machine with everything on it. */
    fun stop() {
        if (!isAlive) return
        isAlive = false
        heartbeatJob?.cancel()
        leaseJob?.cancel()
        execution.dropAll()
    }

    private suspend fun watchLease() {
        while (true) {
            delay(LEASE_CHECK_MS)
            if (!hung) checkLease()
        }
    }

    /** If the lease has expired: drops all tasks and begins a new incarnation with a new lease. */
    private fun checkLease() {
        if (nowMs() - renewedAtMs <= leaseMs) return
        execution.dropAll()
        incarnation++
        renewedAtMs = nowMs()
        heartbeats.noteChange()
    }

    private suspend fun awaitNotHung() {
        while (hung) delay(HANG_POLL_MS)
    }

    /**
     * Delays of the copies of answered commands that arrive once more, in milliseconds; null if none do. A fifth of the
     * commands is copied.
     */
    var commandCopyDelayMs: LongRange? = null

    /** Answers a request of a controller; suspends while the machine is hung. */
    suspend fun handle(request: HttpRequest): HttpResponse {
        val response = handleOnce(request)
        val delayMs = commandCopyDelayMs
        if (delayMs != null && response.status == OK && copyRandom.nextInt(COMMANDS_PER_COPY) == 0) {
            scope.launch {
                delay(copyRandom.nextLong(delayMs.first, delayMs.last))
                handleOnce(request)
            }
        }
        return response
    }

    private suspend fun handleOnce(request: HttpRequest): HttpResponse {
        awaitNotHung()
        if (!isAlive) return errorResponse(UNAVAILABLE, "gone")
        checkLease()
        if (request.path == "/show") return statusResponse(OK)
        if (request.path != "/orders") return errorResponse(NOT_FOUND, "no such resource")
        val body = parseObject(request.body)
        val newToken = body.longOrNull("baton") ?: return errorResponse(BAD_REQUEST, "baton is missing")
        val addressedIncarnation = body.longOrNull("stint") ?: return errorResponse(BAD_REQUEST, "stint is missing")
        if (newToken < token || addressedIncarnation != incarnation) return statusResponse(CONFLICT)
        adoptToken(newToken)
        execute(body)
        return statusResponse(OK)
    }

    /** Accepts a token. The next heartbeat reports a higher one early, at most once in half of a lease. */
    private fun adoptToken(newToken: Long) {
        if (newToken == token) return
        token = newToken
        if (nowMs() - tokenReportedAtMs < leaseMs / 2) return
        tokenReportedAtMs = nowMs()
        heartbeats.noteChange()
    }

    private fun statusResponse(status: Int) = HttpResponse(status, heartbeat().bytes())

    private fun execute(message: JsonObject) {
        for (command in message.listOrNull("radio").orEmpty().map { it.asObject() }) {
            val task = command.text("lap")
            val jobId = task.substringBeforeLast('/')
            val taskIndex = task.substringAfterLast('/').toInt()
            val id = AttemptId(jobId, taskIndex, command.long("start"))
            when (command.text("call")) {
                "run" -> execution.run(id)
                "kill" -> execution.kill(id, command.numberOrNull("cooldown_s") ?: 0.0)
                "clear" -> execution.clear(id)
            }
        }
    }

    private fun heartbeat(): JsonObject =
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
            put("laps", JsonArray(tasks.map(::listed)))
        }

    private fun listed(task: EmulatedTask): JsonObject =
        buildJsonObject {
            put("lap", "${task.jobId}/${task.taskIndex}")
            put("start", task.attempt)
            put("status", task.status)
            if (task.exitReason != null) put("retire_reason", task.exitReason)
            if (task.isSaved) put("saved", true)
        }

    private inner class Sender : HeartbeatSender {
        override val incarnation get() = this@WorkerEmulator.incarnation

        override suspend fun awaitUsable() {
            awaitNotHung()
            checkLease()
        }

        override fun heartbeat() = this@WorkerEmulator.heartbeat()

        override fun accept(
            response: JsonObject,
            sentAtMs: Long,
            incarnationAtSend: Long,
        ) {
            val newToken = response.longOrNull("baton") ?: 0L
            val isInTime = nowMs() - sentAtMs <= HeartbeatLoop.HEARTBEAT_TIMEOUT_MS
            if (newToken < token || incarnationAtSend != incarnation || !isInTime) return
            adoptToken(newToken)
            renewedAtMs = maxOf(renewedAtMs, sentAtMs)
            execute(response)
        }
    }

    private companion object {
        const val LEASE_CHECK_MS = 100L
        const val COMMANDS_PER_COPY = 5
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val UNAVAILABLE = 503
    }
}
